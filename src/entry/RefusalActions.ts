/** How the entry reacts to each reason for which an agent refuses an attempt. */
import type { RefusalReason } from '../common/protocol/Attempt.js';
import type { CallerErrorKind } from '../common/protocol/CallerError.js';

/**
 * What the entry does after a refusal. The refused attempt did not run.
 * - `try-next`: starts an attempt on another server.
 * - `try-again`: starts an attempt after a short pause, on any server including those tried.
 * - `wait`: waits for the store, which all servers need and which may recover before the deadline.
 * - `new-id`: the attempt id is in use for another input. An idempotent stage uses random ids from
 *   then on; any other stage fails.
 * - `settle`: settles the claim, which another attempt holds.
 * - `fail`: fails the stage, because every server would refuse.
 */
export interface RefusalAction {
  readonly kind: 'try-next' | 'try-again' | 'wait' | 'new-id' | 'settle' | 'fail';
  /** Kind of the caller's error if the request fails because of the refusal. */
  readonly failure: CallerErrorKind;
  /**
   * Whether the refusal may have been given to an earlier request. An agent stores a refusal under
   * the attempt id for its retention time, and an id derived from the idempotency key is shared
   * with earlier requests. An attempt with a random id gets a current answer.
   */
  readonly mayBeOld: boolean;
  /**
   * Whether the try counts towards the limit of tries; true by default. False if the refusal does
   * not show whether the server would accept the attempt.
   */
  readonly reachedServer?: boolean;
}

/** For reasons without an entry in `ACTIONS`, which concern one server only. */
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
 * @param reason - reason that the agent gave
 * @returns what the entry does next
 */
export function actionAfter(reason: RefusalReason): RefusalAction {
  return ACTIONS[reason] ?? DEFAULT_ACTION;
}
