/** Reads the ledger through the operator interface. */
import { CostAggregator } from '../../common/ledger/CostAggregator.js';
import { LedgerRow } from '../../common/protocol/Ledger.js';
import { LedgerPage } from '../../common/protocol/Operator.js';
import type { CliContext, CliResult } from '../Types.js';

/**
 * Reads all pages of the ledger and aggregates the rows.
 * @param context - connection
 * @returns costs of all months
 */
export async function fetchLedger(
  context: Pick<CliContext, 'connection'>,
): Promise<CliResult<CostAggregator>> {
  const costs = new CostAggregator();
  let path = 'ledger';
  for (;;) {
    const result = await context.connection.call('GET', path);
    if (!result.ok) return result;
    const { rows, after } = LedgerPage.parse(result.value);
    for (const row of rows) costs.add(LedgerRow.parse(row));
    if (after === null) return { ok: true, value: costs };
    path = `ledger?after=${encodeURIComponent(after)}`;
  }
}
