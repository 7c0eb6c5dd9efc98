/** Types of the entry's routing: backend servers, work, times and choices. */

/** A backend server, which is reached through its agent. */
export interface RoutedServer {
  /** Id of the agent in the membership list. */
  readonly agentId: string;
  /** `ip:port` of the agent. */
  readonly address: string;
  readonly pool: string;
  readonly failureDomain: string;
  readonly region: string;
}

/** Location of the entry. Servers in the same location are preferred. */
export interface Location {
  readonly failureDomain: string;
  readonly region: string;
}

/** Template and stage of an attempt, which select the expected times. */
export interface RoutedWork {
  readonly template: string;
  readonly stage: string;
}

/** Times of a result as measured by the entry, in milliseconds. */
export interface RoutedTimes {
  /** Time from sending to the result, minus the queueing time reported by the agent. */
  readonly serviceMs: number;
  /** Time from sending to the first chunk, or to the result if there are no chunks. */
  readonly firstChunkMs: number;
}

/**
 * How an attempt failed.
 * - `unreachable`: no connection to the agent, or no frame on it.
 * - `failed`: the backend server returned an error.
 */
export type FailureSignal = 'unreachable' | 'failed';

/** A chosen server, with the reason that is reported in explanations. */
export interface RouteChoice {
  readonly server: RoutedServer;
  readonly reason: string;
}

/** Requirements for the choice of a server. */
export interface RouteRequest {
  readonly pool: string;
  /**
   * Key that selects the candidates. Equal keys have the same candidates on all entries of a failure
   * domain.
   */
  readonly key: string;
  /**
   * - `spread`: any candidate.
   * - `affinity`: the first candidate, unless it is busier than the others.
   * - `sticky`: the first candidate unless it is much busier, so that a repeated request joins its
   *   attempt.
   */
  readonly placement: 'spread' | 'affinity' | 'sticky';
  /** Agents that were tried before and are not chosen. */
  readonly exclude: ReadonlySet<string>;
}
