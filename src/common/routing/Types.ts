/** Backend servers as the entry routes to them. */

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
