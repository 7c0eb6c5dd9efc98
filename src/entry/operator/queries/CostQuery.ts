/** Reports cost by client account, template and stage. */
import type { CostLine } from '../../../common/ledger/CostBook.js';
import { readLedger } from '../../../ledger/LedgerReader.js';
import { refuse, type OperatorHandler } from '../Types.js';

/** Answer of `GET /v1/operator/cost`. */
export interface CostReply {
  readonly lines: readonly CostLine[];
}

/** Handles `GET /v1/operator/cost?account=ID&month=YYYY-MM`; both are optional. */
export const queryCost: OperatorHandler = async ({ store }, { query }) => {
  const account = query.get('account') ?? undefined;
  const month = query.get('month') ?? undefined;
  if (month !== undefined && !/^\d{4}-\d{2}$/.test(month)) {
    return refuse({ kind: 'bad-request', message: `month: expected YYYY-MM, found "${month}"` });
  }
  const book = await readLedger(store);
  if (!book.ok) return refuse({ kind: 'unavailable', message: 'the ledger cannot be read now' });
  const body: CostReply = {
    lines: book.value.lines({ ...(account && { account }), ...(month && { month }) }),
  };
  return { ok: true, body };
};
