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
  readonly errorKind: CallerErrorKind;
  /**
   * Whether the refusal may have been given to an earlier request. An agent stores a refusal under
   * the attempt id for its retention time, and an id derived from the idempotency key is shared
   * with earlier requests. An attempt with a random id gets a current answer.
   */
  readonly mayBeStale: boolean;
  /**
   * Whether the try counts towards the limit of tries; true by default. False if the refusal does
   * not show whether the server would accept the attempt.
   */
  readonly countsAsTry?: boolean;
}

/** For reasons without an entry in `ACTIONS`, which concern one server only. */
const DEFAULT_ACTION: RefusalAction = {
  kind: 'try-next',
  errorKind: 'unavailable',
  mayBeStale: true,
};

const ACTIONS: Readonly<Partial<Record<RefusalReason, RefusalAction>>> = {
  infeasible: { kind: 'try-next', errorKind: 'infeasible', mayBeStale: true },
  'queue-full': { kind: 'try-next', errorKind: 'overloaded', mayBeStale: true },
  'stale-revision': {
    kind: 'try-again',
    errorKind: 'unavailable',
    mayBeStale: true,
    countsAsTry: false,
  },
  'backend-unavailable': {
    kind: 'try-next',
    errorKind: 'unavailable',
    mayBeStale: true,
    countsAsTry: false,
  },
  claimed: { kind: 'settle', errorKind: 'outcome-unknown', mayBeStale: false },
  'claim-unavailable': {
    kind: 'wait',
    errorKind: 'unavailable',
    mayBeStale: true,
    countsAsTry: false,
  },
  'attempt-mismatch': { kind: 'new-id', errorKind: 'idempotency-key-reused', mayBeStale: false },
  'idempotency-key-reused': {
    kind: 'fail',
    errorKind: 'idempotency-key-reused',
    mayBeStale: false,
  },
  invalid: { kind: 'fail', errorKind: 'bad-request', mayBeStale: false },
};

/**
 * @param reason - reason that the agent gave
 * @returns what the entry does next
 */
export function actionAfter(reason: RefusalReason): RefusalAction {
  return ACTIONS[reason] ?? DEFAULT_ACTION;
}
