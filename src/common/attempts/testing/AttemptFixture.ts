/** Test fixture: attempts. */
import type { Attempt } from '../../protocol/Attempt.js';

let attempts = 0;

/**
 * Creates an attempt of an idempotent call stage.
 * @param fields - fields that override the defaults
 * @returns attempt with a new id
 */
export function createAttempt(fields: Partial<Attempt> = {}): Attempt {
  attempts += 1;
  return {
    attemptId: `attempt-${attempts}`,
    requestId: `request-${attempts}`,
    account: 'account',
    template: 'template',
    stage: 'stage',
    kind: 'call',
    operation: 'deposits',
    input: { body: { amount: 1 } },
    remainingMs: 3000,
    idempotent: true,
    weight: 1,
    priority: 5,
    hedge: false,
    resumeFrom: 0,
    pinnedRevision: 0,
    notice: { revision: 0, confirmedAgeMs: null },
    ...fields,
  };
}
