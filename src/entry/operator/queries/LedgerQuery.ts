/** Returns the ledger page by page; the operator's command merges the pages. */
import { LEDGER_PAGE_ROWS, LEDGER_SCAN_TIMEOUT_MS } from '../../../ledger/LedgerReader.js';
import { LEDGER_TABLE } from '../../../common/protocol/Ledger.js';
import type { LedgerPage } from '../../../common/protocol/Operator.js';
import { refuse, type OperatorHandler } from '../Types.js';

/**
 * Handles `GET /v1/operator/ledger?after=KEY`. Rows are not merged here: merging a month of a large
 * system takes seconds and would delay the requests of callers.
 */
export const queryLedger: OperatorHandler = async ({ store }, { query }) => {
  const after = query.get('after');
  const range = { table: LEDGER_TABLE, prefix: '', limit: LEDGER_PAGE_ROWS };
  const page = await store.scan(after === null ? range : { ...range, after }, {
    timeoutMs: LEDGER_SCAN_TIMEOUT_MS,
  });
  if (!page.ok) return refuse({ kind: 'unavailable', message: 'the ledger cannot be read now' });
  const isLast = page.value.length < LEDGER_PAGE_ROWS;
  const body: LedgerPage = {
    rows: page.value.map((row) => row.value),
    after: isLast ? null : page.value.at(-1)!.key,
  };
  return { ok: true, body };
};
