/** Ids of requests and attempts. */
import { randomBytes } from 'node:crypto';
import { sha256 } from '../common/Digest.js';

const REQUEST_ID_BYTES = 8;
const ATTEMPT_ID_BYTES = 16;

/**
 * @param entryId - entry that runs the request
 * @returns a new request id that names the entry
 */
export function createRequestId(entryId: string): string {
  return `${entryId}-${randomBytes(REQUEST_ID_BYTES).toString('hex')}`;
}

/**
 * @param requestId - id made by {@link createRequestId}
 * @returns id of the entry that made it
 */
export function entryOfRequest(requestId: string): string {
  return requestId.slice(0, requestId.lastIndexOf('-'));
}

/** @returns a new attempt id that no other request shares. */
export function createAttemptId(): string {
  return randomBytes(ATTEMPT_ID_BYTES).toString('hex');
}

/**
 * Attempt id that is the same for a caller's retry through another entry, so that it joins the
 * running attempt.
 * @param account - client account
 * @param idempotencyKey - key given by the caller
 * @param stage - stage name
 * @param tryNumber - 0 for the first attempt of the stage
 * @returns attempt id
 */
export function deriveAttemptId(
  account: string,
  idempotencyKey: string,
  stage: string,
  tryNumber: number,
): string {
  return sha256(JSON.stringify([account, idempotencyKey, stage, tryNumber]));
}
