import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { isRetryable, type CallerRequest } from './CallerRequest.js';
import type { ForwardProgress } from './ForwardProgress.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ServerSelection } from './ServerSelection.js';

/** Maximum number of attempts to send one request, including those that fail to connect. */
export const MAX_SEND_ATTEMPTS = 6;

/**
 * A request may move to another server if there is no response (for streams: no first event) within
 * this multiple of the route's latency objective.
 */
const RESPONSE_TIMEOUT_FACTOR = 2.5;
const MIN_RESPONSE_TIMEOUT_MS = 400;

/** A resumable stream may move to another server after this multiple of the longest event gap. */
const EVENT_GAP_TIMEOUT_FACTOR = 5;

/** When a request that waits for its server moves to another one. */
export interface Failover {
  /** Time without a response or a first event after which {@link mayMove} is asked, in ms. */
  readonly firstAfterMs: number;
  /** Same for the time between two events of a stream, in ms. */
  readonly nextAfterMs: number;
  /**
   * Asked again after each such time.
   * @param waitedMs - time without a response or event, in ms
   * @returns whether another server should get the request
   */
  readonly mayMove: (waitedMs: number) => boolean;
}

/** Dependencies of {@link FailoverPolicy}. */
export interface FailoverPolicyServices {
  readonly clock: Clock;
  readonly selection: Pick<ServerSelection, 'hasOther'>;
  readonly retryBudgets: RetryBudgets;
}

/**
 * Decides when a request leaves a server that does not respond.
 *
 * Handles a server that is silent beside sound ones, and a service whose servers are all slow: without
 * another server, without a retry left or with too little time, the request stays, because its server
 * may still respond before the deadline.
 */
export class FailoverPolicy {
  constructor(private readonly services: FailoverPolicyServices) {}

  /**
   * @param request - request that is sent to the server
   * @param server - its server
   * @param progress - the attempts so far, including this one
   * @returns when the request moves to another server; undefined if it must not
   */
  failoverOf(
    request: CallerRequest,
    server: BackendServer,
    progress: ForwardProgress,
  ): Failover | undefined {
    if (!canFailOver(request)) return undefined;
    const { objectiveMs, maxEventGapMs } = request.route;
    const firstAfterMs = Math.max(MIN_RESPONSE_TIMEOUT_MS, objectiveMs * RESPONSE_TIMEOUT_FACTOR);
    return {
      firstAfterMs,
      nextAfterMs: (maxEventGapMs ?? firstAfterMs) * EVENT_GAP_TIMEOUT_FACTOR,
      mayMove: (waitedMs) => this.mayMove(request, server, progress, waitedMs),
    };
  }

  private mayMove(
    { route, deadlineAt, response }: CallerRequest,
    { service, version }: BackendServer,
    { possibleRuns, sends, triedServerIds, pinned, hasConcurrentSend }: ForwardProgress,
    waitedMs: number,
  ): boolean {
    const { selection, retryBudgets, clock } = this.services;
    return (
      // The hedge already runs on another server.
      !hasConcurrentSend &&
      possibleRuns + 1 < route.maxServers &&
      sends < MAX_SEND_ATTEMPTS &&
      // Another server may take as long as this one.
      deadlineAt - clock.now() >= waitedMs &&
      retryBudgets.of(service).canSpend &&
      selection.hasOther(service, {
        triedServerIds,
        pinned: pinned ?? (response.hasStarted ? { version } : undefined),
      })
    );
  }
}

/** Whether the request may run on a second server. */
export function canFailOver(request: CallerRequest): boolean {
  return isRetryable(request) && request.route.maxServers > 1;
}
