/** Usage as backend servers report it. */
import type { BackendUsage } from '../../common/protocol/Backend.js';
import type { Usage } from '../../common/protocol/Usage.js';

/**
 * @param usage - usage as a backend server reports it
 * @returns usage; fields that are not reported are left out
 */
export function usageOf(usage: BackendUsage | undefined): Partial<Usage> {
  if (!usage) return {};
  const counted = { tokensIn: usage.prompt_tokens, tokensOut: usage.completion_tokens };
  return usage.accelerator_ms === undefined
    ? counted
    : { ...counted, acceleratorMs: usage.accelerator_ms };
}
