/** Usage of backend servers by attempts, on which cost reports are based. */
import { z } from 'zod';

/** Counted resources. `acceleratorMs` is the busy time of one accelerator slot in milliseconds. */
export const Usage = z.object({
  acceleratorMs: z.number().nonnegative(),
  tokensIn: z.number().int().nonnegative(),
  tokensOut: z.number().int().nonnegative(),
  calls: z.number().int().nonnegative(),
});
export type Usage = z.infer<typeof Usage>;

/**
 * Whether the result reached a caller (`useful`), or the work was cancelled, failed or was a hedge
 * that lost (`overhead`).
 */
export const UsageClass = z.enum(['useful', 'overhead']);
export type UsageClass = z.infer<typeof UsageClass>;

/** Zero usage. */
export const NO_USAGE: Usage = Object.freeze({
  acceleratorMs: 0,
  tokensIn: 0,
  tokensOut: 0,
  calls: 0,
});

/**
 * Adds two usages field by field.
 * @param left - first addend
 * @param right - second addend
 * @returns sum as a new object
 */
export function addUsage(left: Usage, right: Usage): Usage {
  return {
    acceleratorMs: left.acceleratorMs + right.acceleratorMs,
    tokensIn: left.tokensIn + right.tokensIn,
    tokensOut: left.tokensOut + right.tokensOut,
    calls: left.calls + right.calls,
  };
}
