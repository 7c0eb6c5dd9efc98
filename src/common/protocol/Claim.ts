/** The row of the table service that lets a non-idempotent stage run at most once. */
import { z } from 'zod';

/** Table that holds claims. */
export const CLAIM_TABLE = 'claims';

/** Results up to this size are stored inside the claim row; larger ones go to the object store. */
export const CLAIM_INLINE_RESULT_BYTES = 65_536;

/** States: `claimed` may have run; `done` has a result; `void` did not run; `unknown` is final and unknown. */
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
  /** JSON text of the output, state `done` only. */
  output: z.string().optional(),
  /** Object key of the output if it is too large for the row. */
  outputObject: z.string().optional(),
});
export type Claim = z.infer<typeof Claim>;

/**
 * Key of a claim row.
 * @param account - client account
 * @param idempotencyKey - key given by the caller
 * @param stage - stage name
 * @returns row key; parts are percent-encoded so that no two triples share a key
 */
export function claimKey(account: string, idempotencyKey: string, stage: string): string {
  return [account, idempotencyKey, stage].map(encodeURIComponent).join('/');
}

/**
 * Tells whether two claims have the same holder: attempt, agent and agent incarnation.
 * @param left - a claim
 * @param right - another claim
 * @returns true if the holder is the same
 */
export function isSameHolder(left: Claim, right: Claim): boolean {
  return (
    left.attemptId === right.attemptId &&
    left.agentId === right.agentId &&
    left.incarnation === right.incarnation
  );
}
