/** What the entry does after each kind of refusal. The refused attempt did not run. */
import type { RefusalReason } from '../common/protocol/Attempt.js';
import type { CallerErrorKind } from '../common/protocol/CallerError.js';

/**
 * - `try-next`: another server may take it.
 * - `try-again`: the same server may take it a little later.
 * - `wait`: the store that all servers need is down; it may be back before the deadline.
 * - `new-id`: the attempt id is in use for another input.
 * - `settle`: another attempt holds the claim.
 * - `fail`: no server will take it.
 */
export interface RefusalAction {
  readonly kind: 'try-next' | 'try-again' | 'wait' | 'new-id' | 'settle' | 'fail';
  /** Error that the caller gets if the request fails because of it. */
  readonly failure: CallerErrorKind;
  /**
   * An agent keeps a refusal under the attempt id for its retention time. With an id derived from the
   * key it may have been given to an earlier request; one attempt with an id of its own tells what
   * holds now.
   */
  readonly mayBeOld: boolean;
  /** False if the refusal says nothing about the server's willingness, so that the try does not count. */
  readonly reachedServer?: boolean;
}

/** Reasons that are not listed concern one server only. */
const DEFAULT_ACTION: RefusalAction = { kind: 'try-next', failure: 'unavailable', mayBeOld: true };

const ACTIONS: Readonly<Partial<Record<RefusalReason, RefusalAction>>> = {
  infeasible: { kind: 'try-next', failure: 'infeasible', mayBeOld: true },
  'queue-full': { kind: 'try-next', failure: 'overloaded', mayBeOld: true },
  'stale-revision': {
    kind: 'try-again',
    failure: 'unavailable',
    mayBeOld: true,
    reachedServer: false,
  },
  'backend-unavailable': {
    kind: 'try-next',
    failure: 'unavailable',
    mayBeOld: true,
    reachedServer: false,
  },
  claimed: { kind: 'settle', failure: 'outcome-unknown', mayBeOld: false },
  'claim-unavailable': {
    kind: 'wait',
    failure: 'unavailable',
    mayBeOld: true,
    reachedServer: false,
  },
  'attempt-mismatch': { kind: 'new-id', failure: 'idempotency-key-reused', mayBeOld: false },
  'idempotency-key-reused': {
    kind: 'fail',
    failure: 'idempotency-key-reused',
    mayBeOld: false,
  },
  invalid: { kind: 'fail', failure: 'bad-request', mayBeOld: false },
};

/**
 * @param reason - reason of a refusal
 * @returns what the entry does next
 */
export function actionAfter(reason: RefusalReason): RefusalAction {
  return ACTIONS[reason] ?? DEFAULT_ACTION;
}
