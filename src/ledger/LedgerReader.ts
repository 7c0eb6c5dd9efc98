/** Reads the ledger for reports. */
import { CostAggregator } from '../common/ledger/CostAggregator.js';
import { LEDGER_TABLE, LedgerRow } from '../common/protocol/Ledger.js';
import type { PlatformResult, TableStore } from '../storage/Types.js';

/** Maximum rows per scan; at up to 64 KB a row, parsing a page blocks an entry for a few ms only. */
export const LEDGER_PAGE_ROWS = 8;

/** Time-out of one scan, in milliseconds. */
export const LEDGER_SCAN_TIMEOUT_MS = 5000;

/**
 * Reads and aggregates all rows, page by page in key order, so that each row is counted once.
 * @param store - table service
 * @returns aggregated costs, or the error of the store
 */
export async function readLedger(store: TableStore): Promise<PlatformResult<CostAggregator>> {
  const costs = new CostAggregator();
  let after: string | undefined;
  for (;;) {
    const range = { table: LEDGER_TABLE, prefix: '', limit: LEDGER_PAGE_ROWS };
    const page = await store.scan(after === undefined ? range : { ...range, after }, {
      timeoutMs: LEDGER_SCAN_TIMEOUT_MS,
    });
    if (!page.ok) return page;
    for (const row of page.value) costs.add(LedgerRow.parse(row.value));
    if (page.value.length < LEDGER_PAGE_ROWS) return { ok: true, value: costs };
    after = page.value.at(-1)!.key;
  }
}
