/** Shared interfaces of stand-in services. */
import type { Call } from './http/Call.js';
import type { Run } from './Faults.js';

/** Complete response of a call. */
export interface Answer {
  readonly status: number;
  /** JSON value, or text or encoded JSON that is sent as it is. */
  readonly body: unknown;
  readonly headers?: Readonly<Record<string, string>>;
}

/** What a service does for one method and path. */
export interface Route {
  /** True if the call writes or runs something, so that a lost answer leaves an effect. */
  readonly hasEffect: boolean;
  /** @returns the response, or undefined if the handler writes the response itself. */
  readonly handle: (call: Call) => Promise<Answer | undefined> | Answer | undefined;
}

/** Value of a counter: a number, or numbers by name. */
export type Counter = number | Readonly<Record<string, number>>;

/** A stand-in service behind one address. */
export interface Service {
  /**
   * Finds the route of a call.
   * @param method - HTTP method
   * @param path - path without query
   * @returns the route, or undefined if there is none
   */
  route(method: string, path: string): Route | undefined;
  /** Routes below `/control/`, by method and path; faults do not apply to them. */
  readonly controlRoutes: Readonly<Record<string, Route>>;
  /** @returns counts for `GET /control/counters`. */
  counters(): Record<string, Counter>;
  /** @returns runs for `GET /control/runs`; empty for services that run nothing. */
  runs(): readonly Run[];
  /** Stops timers and ends calls in progress. */
  dispose(): void;
}
