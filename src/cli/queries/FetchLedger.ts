/** Reads the ledger through an entry and merges it. */
import { CostBook } from '../../common/ledger/CostBook.js';
import { LedgerRow } from '../../common/protocol/Ledger.js';
import { LedgerPage } from '../../common/protocol/Operator.js';
import type { CliContext, CliResult } from '../Types.js';

/**
 * @param context - connection and output
 * @returns costs of all months
 */
export async function fetchLedger(
  context: Pick<CliContext, 'connection'>,
): Promise<CliResult<CostBook>> {
  const book = new CostBook();
  let path = 'ledger';
  for (;;) {
    const result = await context.connection.call('GET', path);
    if (!result.ok) return result;
    const { rows, after } = LedgerPage.parse(result.value);
    for (const row of rows) book.add(LedgerRow.parse(row));
    if (after === null) return { ok: true, value: book };
    path = `ledger?after=${encodeURIComponent(after)}`;
  }
}
