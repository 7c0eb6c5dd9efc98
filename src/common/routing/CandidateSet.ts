/** Selects the servers that a key may be sent to, by rendezvous hashing. */
import murmurhash from 'murmurhash';
import type { RoutedServer } from './Types.js';

/** Where the entry is; nearer servers come first. */
export interface Location {
  readonly failureDomain: string;
  readonly region: string;
}

/**
 * Orders servers by nearness and, among equally near ones, by rendezvous hashing of the key.
 * Adding or removing a server changes the order of no other servers, so keys stay where they are.
 * @param servers - live servers of one pool
 * @param key - such as the prompt prefix or the idempotency key
 * @param location - failure domain and region of the entry
 * @param count - number of candidates wanted
 * @returns at most `count` servers, best first
 */
export function selectCandidates(
  servers: readonly RoutedServer[],
  key: string,
  location: Location,
  count: number,
): RoutedServer[] {
  return servers
    .map((server) => ({
      server,
      distance: distanceOf(server, location),
      score: murmurhash.v3(`${server.agentId}\u0000${key}`),
    }))
    .sort((left, right) => left.distance - right.distance || right.score - left.score)
    .slice(0, count)
    .map(({ server }) => server);
}

/** 0 in the same failure domain, 1 in the same region, 2 elsewhere. */
function distanceOf(server: RoutedServer, location: Location): number {
  if (server.region !== location.region) return 2;
  return server.failureDomain === location.failureDomain ? 0 : 1;
}
