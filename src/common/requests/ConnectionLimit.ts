/** What a connection of a caller is used for, as far as it decides which one is closed. */
export interface ConnectionState {
  readonly address: string;
  /** Number of requests without a complete response. */
  readonly requestsRunning: number;
  /** Number of those that wait for the client: for a part of the body, or to read the response. */
  readonly awaitingClient: number;
  /** Whether it is only open until the client has read its last answer. */
  readonly isClosing: boolean;
  /** Time of the start of its last request, or of its acceptance, on the clock, in ms. */
  readonly activeAt: number;
}

type Eligibility = (connection: ConnectionState) => boolean;

/** Connections that may be closed for a new one, in this order. */
const CLOSED_FIRST: readonly Eligibility[] = [
  ({ isClosing }) => isClosing,
  ({ requestsRunning }) => requestsRunning === 0,
  ({ requestsRunning, awaitingClient }) => requestsRunning === awaitingClient,
];

/**
 * Chooses the connection that is closed for a new one when there are as many as allowed.
 *
 * Answers clients that open connections and send no request, or only a part of one: they would take
 * all descriptors, and servers and the store would be out of reach. Idle connections and incomplete
 * requests are closed first, of the address that has the most of them, and the oldest among them.
 *
 * @param connections - open connections
 * @returns connection to close; undefined if all have requests in progress
 */
export function chooseConnectionToClose<T extends ConnectionState>(
  connections: Iterable<T>,
): T | undefined {
  const all = [...connections];
  const eligible = CLOSED_FIRST.map((isEligible) => all.filter(isEligible));
  return oldestOfLargestAddress(eligible.find(({ length }) => length > 0) ?? []);
}

function oldestOfLargestAddress<T extends ConnectionState>(connections: T[]): T | undefined {
  const counts = new Map<string, number>();
  connections.forEach(({ address }) => counts.set(address, (counts.get(address) ?? 0) + 1));
  let chosen: T | undefined;
  connections.forEach((connection) => {
    if (!chosen || isClosedBefore(connection, chosen, counts)) chosen = connection;
  });
  return chosen;
}

function isClosedBefore(
  left: ConnectionState,
  right: ConnectionState,
  counts: ReadonlyMap<string, number>,
): boolean {
  const difference = (counts.get(left.address) ?? 0) - (counts.get(right.address) ?? 0);
  return difference === 0 ? left.activeAt < right.activeAt : difference > 0;
}
