import type { Disposable } from '../common/events/Types.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { CallerRequest } from './CallerRequest.js';
import type { ForwardOutcome } from './ForwardOutcome.js';
import type { Refusal } from './RequestLog.js';
import type { ResponseProgress } from './ResponseProgress.js';

/** Refuses requests of one kind that crash servers, and learns from the others. */
export interface Guard {
  /** @returns why the request must not be sent to any server; undefined if it may be sent */
  refusalOf(request: CallerRequest): Refusal | undefined;
  /** @returns whether the request must not be sent to any further server */
  isRefused(request: CallerRequest): boolean;
  /**
   * Waits for evidence because of which the request must not be sent any more.
   * @param request - request that is not sent yet
   * @param listener - called when there is such evidence
   * @returns subscription
   */
  onRefused(request: CallerRequest, listener: () => void): Disposable;
  /** Records what the outcome of an attempt shows. */
  recordOutcome(
    request: CallerRequest,
    server: BackendServer,
    outcome: ForwardOutcome,
    response: ResponseProgress,
  ): void;
}

/** Several guards, of which each may refuse a request. */
export class CrashGuard implements Guard {
  constructor(private readonly guards: readonly Guard[]) {}

  refusalOf(request: CallerRequest): Refusal | undefined {
    return this.guards.find((guard) => guard.isRefused(request))?.refusalOf(request);
  }

  isRefused(request: CallerRequest): boolean {
    return this.guards.some((guard) => guard.isRefused(request));
  }

  onRefused(request: CallerRequest, listener: () => void): Disposable {
    const subscriptions = this.guards.map((guard) => guard.onRefused(request, listener));
    return { dispose: () => subscriptions.forEach((subscription) => subscription.dispose()) };
  }

  recordOutcome(...outcome: Parameters<Guard['recordOutcome']>): void {
    this.guards.forEach((guard) => guard.recordOutcome(...outcome));
  }
}
