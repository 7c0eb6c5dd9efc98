/** Selects the candidate servers of a key by rendezvous hashing. */
import murmurhash from 'murmurhash';
import type { Location, RoutedServer } from './Types.js';

const KEY_HASH_BYTES = 4;

/** Cached hashes of agent ids, which each selection needs for every server. */
const serverHashes = new WeakMap<RoutedServer, number>();

/**
 * Selects servers of the entry's region, ordered by rendezvous hashing of the key, with those of
 * the entry's failure domain first. Adding or removing a server does not change the order of the
 * others, so keys stay on their servers. Servers of other regions are used only if the entry's
 * region has none.
 * @param servers - usable servers of one pool
 * @param key - placement key, such as the prompt prefix or the idempotency key
 * @param location - failure domain and region of the entry
 * @param count - maximum number of candidates
 * @returns at most `count` servers, best first
 */
export function selectCandidates(
  servers: readonly RoutedServer[],
  key: string,
  location: Location,
  count: number,
): RoutedServer[] {
  const regional = servers.filter((server) => server.region === location.region);
  const keyBytes = new Uint8Array(KEY_HASH_BYTES);
  new DataView(keyBytes.buffer).setUint32(0, murmurhash.v3(key));
  return (regional.length > 0 ? regional : servers)
    .map((server) => ({
      server,
      isNear: server.failureDomain === location.failureDomain,
      score: murmurhash.v3(keyBytes, hashOf(server)),
    }))
    .sort((left, right) => Number(right.isNear) - Number(left.isNear) || right.score - left.score)
    .slice(0, count)
    .map(({ server }) => server);
}

function hashOf(server: RoutedServer): number {
  const cached = serverHashes.get(server);
  if (cached !== undefined) return cached;
  const hash = murmurhash.v3(server.agentId);
  serverHashes.set(server, hash);
  return hash;
}
