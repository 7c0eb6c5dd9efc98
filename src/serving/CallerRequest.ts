import type { Cancellation } from '../common/events/Cancellation.js';
import type { ClientAccount, Route } from '../common/serving/ServingConfiguration.js';
import type { CallerResponse } from './CallerResponse.js';
import type { RequestTrace } from './RequestTrace.js';
import type { RequestAttributes } from './Types.js';

/** One request of a caller that was read whole and allowed by the configuration. */
export interface CallerRequest {
  /** Unique in this process; the caller's own id of the try stands in the attributes. */
  readonly id: string;
  readonly route: Route;
  readonly account?: ClientAccount;
  readonly attributes: RequestAttributes;
  readonly method: string;
  readonly target: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly response: CallerResponse;
  /** Version of the configuration that decides about this request. */
  readonly configurationVersion: number;
  /** Arrival, on the clock. */
  readonly receivedAt: number;
  /** End of the time that the caller or the route gives, on the clock. */
  readonly deadlineAt: number;
  /** Time after which the caller has left if nothing was answered, on the clock. */
  readonly usefulUntil: number;
  /** Time by which the answer, or its first event, meets the latency objective, on the clock. */
  readonly dueAt: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Cancelled when the caller leaves or the time is over. */
  readonly cancellation: Cancellation;
  readonly trace: RequestTrace;
}

/** True if the request may run more than once. */
export function isRepeatable({ route }: CallerRequest): boolean {
  return route.kind === 'safe' || (route.kind === 'streaming' && route.isResumable);
}
