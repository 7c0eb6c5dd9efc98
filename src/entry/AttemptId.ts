/** Creates ids of requests and attempts. */
import { randomBytes } from 'node:crypto';
import { sha256 } from '../common/Digest.js';

const REQUEST_ID_BYTES = 8;
const ATTEMPT_ID_BYTES = 16;

/**
 * @param entryId - id of the entry that runs the request
 * @returns a random request id with the entry id as prefix
 */
export function createRequestId(entryId: string): string {
  return `${entryId}-${randomBytes(REQUEST_ID_BYTES).toString('hex')}`;
}

/**
 * @param requestId - id created by {@link createRequestId}
 * @returns id of the entry that created it
 */
export function entryOfRequest(requestId: string): string {
  return requestId.slice(0, requestId.lastIndexOf('-'));
}

/** @returns a random attempt id. */
export function createAttemptId(): string {
  return randomBytes(ATTEMPT_ID_BYTES).toString('hex');
}

/**
 * Derives an attempt id from the idempotency key, so that a caller's retry through another entry
 * gets the same id and joins the running attempt.
 * @param account - client account
 * @param idempotencyKey - value of the Idempotency-Key header
 * @param stage - stage name
 * @param attemptNumber - 0 for the first attempt of the stage
 * @returns SHA-256 digest, hexadecimal
 */
export function deriveAttemptId(
  account: string,
  idempotencyKey: string,
  stage: string,
  attemptNumber: number,
): string {
  return sha256(JSON.stringify([account, idempotencyKey, stage, attemptNumber]));
}
