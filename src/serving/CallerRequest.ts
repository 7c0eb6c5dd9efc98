import type { Cancellation } from '../common/events/Cancellation.js';
import type { ClientAccount, Route } from '../common/serving/ServingConfiguration.js';
import type { CallerResponse } from './CallerResponse.js';
import type { RequestTrace } from './RequestTrace.js';
import type { RequestAttributes } from './Types.js';

/** One request of a caller that was read completely and that the configuration allows. */
export interface CallerRequest {
  /** Unique in this process. The caller's attempt id is part of the attributes. */
  readonly id: string;
  readonly route: Route;
  readonly account?: ClientAccount;
  readonly attributes: RequestAttributes;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly response: CallerResponse;
  /** Version of the configuration that applies to this request. */
  readonly configurationVersion: number;
  /** Time of arrival, on the clock. */
  readonly receivedAt: number;
  /** Deadline of the caller or time-out of the route, whichever is earlier, on the clock. */
  readonly deadlineAt: number;
  /** Time at which the caller gives up if no part of the response has arrived, on the clock. */
  readonly callerWaitsUntil: number;
  /**
   * Latest time of the response or its first event within the latency objective, which counts from
   * the caller's first attempt, on the clock.
   */
  readonly dueAt: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Cancelled when the caller disconnects, the deadline passes or the process stops. */
  readonly cancellation: Cancellation;
  readonly trace: RequestTrace;
}

/** Whether the request may run more than once. */
export function isRetryable({ route }: CallerRequest): boolean {
  return route.kind === 'safe' || isResumable({ route });
}

/** Whether the response is a stream that may go on at another server after its last event. */
export function isResumable({ route }: Pick<CallerRequest, 'route'>): boolean {
  return route.kind === 'streaming' && route.isResumable;
}
