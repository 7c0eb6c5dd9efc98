/** tRPC clients for the configuration procedures, which entries and agents both serve. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import { LRUCache } from 'lru-cache';
import { fetchBounded } from '../common/json/BoundedFetch.js';
import { INTERNAL_TOKEN_HEADER, TRPC_PATH } from '../common/protocol/Control.js';
import type { EntryRouter } from '../entry/EntryRouter.js';
import type { Instance } from '../common/protocol/Membership.js';
import type { MembershipList } from '../storage/Types.js';
import type { ConfigurationPeer } from './Types.js';

/** Time-out of one call. A live process answers within a few milliseconds. */
const CALL_TIMEOUT_MS = 1000;
const MEMBERSHIP_TIMEOUT_MS = 1000;
/** Maximum number of cached clients; above the number of processes at the design size. */
const CLIENT_LIMIT = 2048;

/** Options of {@link createPeerLookup}. */
export interface PeerOptions {
  /** Id of this process, which is excluded from its peers. */
  readonly ownId: string;
  readonly membership: MembershipList;
  /** Addresses (`ip:port`) from the settings, in addition to those of the membership list. */
  readonly addresses: readonly string[];
  readonly internalToken: string;
}

/**
 * Creates a function that returns tRPC clients by address and caches them. Entries and agents serve
 * the same configuration procedures, so a client for these can be typed as that of an entry.
 * @param internalToken - secret shared by the processes of the system
 * @returns function that maps `ip:port` to a client
 */
export function createClientLookup<R extends AnyRouter>(
  internalToken: string,
): (address: string) => TRPCClient<R> {
  const clients = new LRUCache<string, TRPCClient<R>>({ max: CLIENT_LIMIT });
  return (address) => {
    const cached = clients.get(address);
    if (cached) return cached;
    const link = httpLink({
      fetch: fetchBounded,
      url: `http://${address}${TRPC_PATH}`,
      headers: { [INTERNAL_TOKEN_HEADER]: `Bearer ${internalToken}` },
    });
    const client = createTRPCClient<R>({ links: [link] });
    clients.set(address, client);
    return client;
  };
}

/** @returns signal that aborts a call after its time-out. */
export function createTimeoutSignal(): AbortSignal {
  return AbortSignal.timeout(CALL_TIMEOUT_MS);
}

/**
 * Creates the peer lookup of a follower. Its peers are the entries of the membership list and of
 * the settings; agents are left out, because they receive changes later than entries.
 * @param options - membership list, addresses and token
 * @returns function for the option `peers` of the follower
 */
export function createPeerLookup(options: PeerOptions): () => Promise<ConfigurationPeer[]> {
  const clientOf = createClientLookup<EntryRouter>(options.internalToken);
  return async () => {
    const listed = await listInstances(options.membership);
    const entries = listed.filter(({ role, id }) => role === 'entry' && id !== options.ownId);
    const addresses = new Set([...options.addresses, ...entries.map(({ address }) => address)]);
    return [...addresses].map((address) => ({
      since: (after: number) =>
        clientOf(address).configuration.since.query({ after }, { signal: createTimeoutSignal() }),
    }));
  };
}

/**
 * Reads the membership list.
 * @param membership - membership list
 * @returns instances; empty if the list does not answer
 */
export async function listInstances(membership: MembershipList): Promise<Instance[]> {
  const result = await membership.list({ timeoutMs: MEMBERSHIP_TIMEOUT_MS });
  return result.ok ? result.value : [];
}
