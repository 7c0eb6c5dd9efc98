/** Backend servers and work as the entry's routing sees them. */

/** A backend server, reached through the agent beside it. */
export interface RoutedServer {
  /** Id of the agent in the membership list. */
  readonly agentId: string;
  /** `ip:port` of the agent. */
  readonly address: string;
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Where the entry is; nearer servers come first. */
export interface Location {
  readonly failureDomain: string;
  readonly region: string;
}

/** What was run, as far as it matters for expected times. */
export interface RoutedWork {
  readonly template: string;
  readonly stage: string;
}

/** Times of a result as the entry measured them, in milliseconds. */
export interface RoutedTimes {
  /** From sending to the result, without the queueing time that the agent reported. */
  readonly serviceMs: number;
  /** From sending to the first chunk, or to the result if there are no chunks. */
  readonly firstMs: number;
}

/**
 * How an attempt failed.
 * - `unreachable`: no connection to the agent, or a silent one.
 * - `failed`: the backend server gave an error.
 */
export type FailureSignal = 'unreachable' | 'failed';

/** A server and why it was chosen. */
export interface RouteChoice {
  readonly server: RoutedServer;
  readonly reason: string;
}

/** What a server is wanted for. */
export interface RouteRequest {
  readonly pool: string;
  /** Selects the candidate set; equal keys have equal candidates on all entries. */
  readonly key: string;
  /**
   * - `spread`: any candidate.
   * - `affinity`: the first candidate unless it is busier than others.
   * - `sticky`: the first candidate, so that a repeated request joins its attempt.
   */
  readonly placement: 'spread' | 'affinity' | 'sticky';
  /** Agents that were tried before. */
  readonly exclude: ReadonlySet<string>;
}
