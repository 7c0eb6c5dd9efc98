import type { Claim } from '../common/protocol/Claim.js';
import type { RequestContext } from './Types.js';

/**
 * What a claim held by another attempt means for this request.
 * - `output`: the work was done; this is its output (JSON text).
 * - `join`: the holder is at work; its attempt must be followed.
 * - `replace`: the holder did not run and never will; a new attempt may replace the claim.
 * - `unknown`: whether the work was done can't be learned.
 */
export type ClaimVerdict =
  | { readonly kind: 'output'; readonly output: string }
  | { readonly kind: 'join'; readonly claim: Claim }
  | { readonly kind: 'replace'; readonly claim: Claim }
  | { readonly kind: 'unknown'; readonly message: string };

/** Settles claims that another attempt holds. */
export class ClaimSettler {
  async settle(_claim: Claim, _stage: string, _context: RequestContext): Promise<ClaimVerdict> {
    return { kind: 'unknown', message: 'another attempt holds the claim' };
  }
}
