/** Claim rows of the table service, which ensure that a non-idempotent stage runs at most once. */
import { z } from 'zod';

/** Table that holds claims. */
export const CLAIM_TABLE = 'claims';

/**
 * Maximum size in bytes of a result stored in its claim row. Larger results are stored in the
 * object store.
 */
export const CLAIM_INLINE_RESULT_BYTES = 65_536;

/**
 * Claim of an attempt. States:
 * - `claimed`: the stage may have run.
 * - `done`: the stage ran, and its result is stored.
 * - `void`: the attempt did not run.
 * - `unknown`: final; whether the stage ran could not be determined.
 */
export const Claim = z.object({
  state: z.enum(['claimed', 'done', 'void', 'unknown']),
  attemptId: z.string(),
  agentId: z.string(),
  incarnation: z.string(),
  /** `ip:port` of the agent. */
  address: z.string(),
  /** SHA-256 of the canonical JSON of operation and input. */
  inputDigest: z.string(),
  requestId: z.string(),
  /** JSON text of the output; state `done` only. */
  output: z.string().optional(),
  /** Object key of the output, if the output is too large for the row. */
  outputObject: z.string().optional(),
});
export type Claim = z.infer<typeof Claim>;

/**
 * Returns the key of a claim row.
 * @param account - client account
 * @param idempotencyKey - key provided by the caller
 * @param stage - stage name
 * @returns row key; its parts are percent-encoded, so that different triples have different keys
 */
export function claimKey(account: string, idempotencyKey: string, stage: string): string {
  return [account, idempotencyKey, stage].map(encodeURIComponent).join('/');
}

/**
 * Whether two claims have the same holder: attempt, agent and agent incarnation.
 * @param left - a claim
 * @param right - another claim
 */
export function isSameHolder(left: Claim, right: Claim): boolean {
  return (
    left.attemptId === right.attemptId &&
    left.agentId === right.agentId &&
    left.incarnation === right.incarnation
  );
}
