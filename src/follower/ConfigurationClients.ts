/** tRPC clients for the configuration calls of other processes; entries and agents have the same ones. */
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import type { AnyRouter } from '@trpc/server';
import { LRUCache } from 'lru-cache';
import { INTERNAL_TOKEN_HEADER, TRPC_PATH } from '../common/protocol/Control.js';
import type { EntryRouter } from '../entry/EntryRouter.js';
import type { Instance } from '../common/protocol/Membership.js';
import type { MembershipList } from '../storage/Types.js';
import type { ConfigurationPeer } from './Types.js';

/** Time-out of one call, in milliseconds. A live process answers within a few. */
const CALL_TIMEOUT_MS = 1000;
const MEMBERSHIP_TIMEOUT_MS = 1000;
/** Clients kept; above the number of processes at the design size. */
const CLIENT_LIMIT = 2048;

/** Options of {@link createPeers}. */
export interface PeerOptions {
  /** Own id, left out of the answer. */
  readonly ownId: string;
  readonly membership: MembershipList;
  /** Addresses from the settings, asked as well. */
  readonly addresses: readonly string[];
  readonly internalToken: string;
}

/**
 * Makes tRPC clients and keeps them for later calls. Entries and agents have the same configuration
 * calls, so a client for these can be typed as that of an entry.
 * @param internalToken - secret shared by the system's processes
 * @returns function from `ip:port` to a client
 */
export function createClients<R extends AnyRouter>(
  internalToken: string,
): (address: string) => TRPCClient<R> {
  const clients = new LRUCache<string, TRPCClient<R>>({ max: CLIENT_LIMIT });
  return (address) => {
    const known = clients.get(address);
    if (known) return known;
    const link = httpLink({
      url: `http://${address}${TRPC_PATH}`,
      headers: { [INTERNAL_TOKEN_HEADER]: `Bearer ${internalToken}` },
    });
    const client = createTRPCClient<R>({ links: [link] });
    clients.set(address, client);
    return client;
  };
}

/** @returns signal that ends a call after its time-out. */
export function callSignal(): AbortSignal {
  return AbortSignal.timeout(CALL_TIMEOUT_MS);
}

/**
 * Peers of a follower: the entries of the membership list and of the settings. Agents follow more
 * slowly than entries and are not asked.
 * @param options - membership list, addresses and token
 * @returns function for the option `peers` of the follower
 */
export function createPeers(options: PeerOptions): () => Promise<ConfigurationPeer[]> {
  const clientOf = createClients<EntryRouter>(options.internalToken);
  return async () => {
    const listed = await listInstances(options.membership);
    const entries = listed.filter(({ role, id }) => role === 'entry' && id !== options.ownId);
    const addresses = new Set([...options.addresses, ...entries.map(({ address }) => address)]);
    return [...addresses].map((address) => ({
      since: (after: number) =>
        clientOf(address).configuration.since.query({ after }, { signal: callSignal() }),
    }));
  };
}

/**
 * @param membership - membership list
 * @returns instances; empty if the list does not answer
 */
export async function listInstances(membership: MembershipList): Promise<Instance[]> {
  const result = await membership.list({ timeoutMs: MEMBERSHIP_TIMEOUT_MS });
  return result.ok ? result.value : [];
}
