/** Types shared by the stand-in services. */
import type { Call } from './http/Call.js';
import type { RunRecord } from './Faults.js';

/** Complete response to a call. */
export interface ServiceResponse {
  readonly status: number;
  /** JSON value; strings and buffers are sent unchanged. */
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Handler of one method and path. */
export interface Route {
  /**
   * Whether the call writes or runs something, so that the fault `lostAnswerShare` applies to it.
   */
  readonly hasEffect: boolean;
  /** @returns the response, or undefined if the handler writes to the connection itself */
  readonly handle: (
    call: Call,
  ) => Promise<ServiceResponse | undefined> | ServiceResponse | undefined;
}

/** Value of a counter: a number, or numbers by label. */
export type Counter = number | Readonly<Record<string, number>>;

/** Stand-in service with one listen address. */
export interface Service {
  /**
   * Finds the route of a call.
   * @param method - HTTP method
   * @param path - path without query
   * @returns the route, or undefined if the service does not serve the path
   */
  route(method: string, path: string): Route | undefined;
  /** Routes below `/control/`, keyed by `METHOD path`. Faults do not apply to them. */
  readonly controlRoutes: Readonly<Record<string, Route>>;
  /** @returns counters for `GET /control/counters` */
  counters(): Record<string, Counter>;
  /** @returns runs for `GET /control/runs`; empty for services without runs */
  runs(): readonly RunRecord[];
  /** Stops timers and ends calls in progress. */
  dispose(): void;
}
