import type { Disposable } from '../common/events/Types.js';
import type { CrashingRequest } from '../common/serving/CrashingRequests.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerRequest } from './CallerRequest.js';
import type { Guard } from './CrashGuard.js';
import type { ForwardOutcome } from './ForwardOutcome.js';
import type { RequestCrashes } from './RequestCrashes.js';
import { fingerprintOf } from './RequestFingerprint.js';
import type { Refusal } from './RequestLog.js';
import type { ResponseProgress } from './ResponseProgress.js';
import type { ServingMetrics } from './ServingMetrics.js';

/** Refuses repeats of requests that crash servers, and learns from the others. */
export class RequestGuard implements Guard {
  /**
   * @param clock - time source
   * @param crashes - evidence of all processes
   * @param metrics - counts the refusals
   */
  constructor(
    private readonly clock: Clock,
    private readonly crashes: RequestCrashes,
    private readonly metrics: Pick<ServingMetrics, 'recordRefusal'>,
  ) {}

  refusalOf(request: CallerRequest): Refusal | undefined {
    const found = this.find(request);
    if (!found) return undefined;
    this.metrics.recordRefusal('crashing-request');
    return {
      reason: `request ${found.request} crashes servers`,
      retryAfterMs: Math.max(0, found.endsAt - this.clock.now()),
    };
  }

  isRefused(request: CallerRequest): boolean {
    return this.find(request) !== undefined;
  }

  onRefused(request: CallerRequest, listener: () => void): Disposable {
    return this.crashes.onFound(() => {
      if (this.find(request)) listener();
    });
  }

  recordOutcome(
    request: CallerRequest,
    server: BackendServer,
    outcome: ForwardOutcome,
    response: ResponseProgress,
  ): void {
    const isLost = 'isConnectionLost' in outcome && outcome.isConnectionLost;
    if (isLost && response.isBeginning) {
      this.crashes.recordLost(server, [fingerprintOf(request)], response.runMs);
    } else if (outcome.kind === 'answered' || outcome.kind === 'server-error') {
      this.crashes.recordSurvived(server, () => [fingerprintOf(request)]);
    }
  }

  private find(request: CallerRequest): CrashingRequest | undefined {
    if (!this.crashes.hasFound) return undefined;
    const { targets, stages } = request.route;
    const fingerprint = fingerprintOf(request);
    return [...targets, ...stages]
      .map(({ service }) => this.crashes.find(fingerprint, service))
      .find((found) => found !== undefined);
  }
}
