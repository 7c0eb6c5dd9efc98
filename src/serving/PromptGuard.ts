import type { Disposable } from '../common/events/Types.js';
import { sharedPartIds, type CrashingParts } from '../common/serving/CrashingParts.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerRequest } from './CallerRequest.js';
import type { Guard } from './CrashGuard.js';
import { isSuccess, type ForwardOutcome } from './ForwardOutcome.js';
import type { Refusal } from './RequestLog.js';
import type { ResponseProgress } from './ResponseProgress.js';
import type { ServingMetrics } from './ServingMetrics.js';

/** Refuses requests because of prompt parts that crash servers, and learns from the others. */
export class PromptGuard implements Guard {
  /**
   * @param clock - time source
   * @param crashingParts - evidence of all processes
   * @param metrics - counts the refusals
   */
  constructor(
    private readonly clock: Clock,
    private readonly crashingParts: CrashingParts,
    private readonly metrics: ServingMetrics,
  ) {}

  refusalOf({ attributes }: CallerRequest): Refusal | undefined {
    const found = this.crashingParts.findIn(sharedPartIds(attributes.promptParts));
    if (!found) return undefined;
    this.metrics.recordRefusal('crashing-prompt');
    return {
      reason: `prompt part ${found.part} crashes servers`,
      retryAfterMs: Math.max(0, found.endsAt - this.clock.now()),
    };
  }

  isRefused({ attributes }: CallerRequest): boolean {
    return this.crashingParts.findIn(sharedPartIds(attributes.promptParts)) !== undefined;
  }

  onRefused({ attributes }: CallerRequest, listener: () => void): Disposable {
    const partIds = sharedPartIds(attributes.promptParts);
    return this.crashingParts.onFound(() => {
      if (this.crashingParts.findIn(partIds)) listener();
    });
  }

  recordOutcome(
    { attributes }: CallerRequest,
    { id, startedAtMs }: BackendServer,
    outcome: ForwardOutcome,
    response: ResponseProgress,
  ): void {
    const partIds = sharedPartIds(attributes.promptParts);
    if (partIds.length === 0) return;
    const isLost = 'isConnectionLost' in outcome && outcome.isConnectionLost;
    if (isLost && response.isBeginning) {
      // A server may restart under the same id.
      this.crashingParts.recordCrash(`${id} ${startedAtMs ?? ''}`, partIds);
    } else if (outcome.kind === 'answered' && isSuccess(outcome.status)) {
      this.crashingParts.recordCompletion(partIds);
    }
  }
}
