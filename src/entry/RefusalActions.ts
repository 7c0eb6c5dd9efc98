/** What the entry does after each kind of refusal. The refused attempt did not run. */
import type { RefusalReason } from '../common/protocol/Attempt.js';
import type { CallerErrorKind } from '../common/protocol/CallerError.js';

/**
 * - `try-next`: another server may take it.
 * - `try-again`: the same server may take it a little later.
 * - `new-try`: the attempt was voided, by another entry; a new one may run.
 * - `new-id`: the attempt id is in use for another input.
 * - `try-fresh`: an earlier request with the same key may have got this refusal. The agent keeps it
 *   under the derived attempt id, so one attempt with an id of its own tells what holds now.
 * - `settle`: another attempt holds the claim.
 * - `fail`: no server will take it.
 */
export interface RefusalAction {
  readonly kind: 'try-next' | 'try-again' | 'new-try' | 'new-id' | 'try-fresh' | 'settle' | 'fail';
  /** Error that the caller gets if the request fails because of it. */
  readonly failure: CallerErrorKind;
}

/** Reasons that are not listed concern one server only. */
const DEFAULT_ACTION: RefusalAction = { kind: 'try-next', failure: 'unavailable' };

const ACTIONS: Readonly<Partial<Record<RefusalReason, RefusalAction>>> = {
  infeasible: { kind: 'try-next', failure: 'infeasible' },
  'queue-full': { kind: 'try-next', failure: 'overloaded' },
  'stale-revision': { kind: 'try-again', failure: 'unavailable' },
  voided: { kind: 'new-try', failure: 'unavailable' },
  claimed: { kind: 'settle', failure: 'outcome-unknown' },
  'claim-unavailable': { kind: 'try-fresh', failure: 'unavailable' },
  'attempt-mismatch': { kind: 'new-id', failure: 'idempotency-key-reused' },
  'idempotency-key-reused': { kind: 'fail', failure: 'idempotency-key-reused' },
  invalid: { kind: 'fail', failure: 'bad-request' },
};

/**
 * @param reason - reason of a refusal
 * @returns what the entry does next
 */
export function actionAfter(reason: RefusalReason): RefusalAction {
  return ACTIONS[reason] ?? DEFAULT_ACTION;
}
