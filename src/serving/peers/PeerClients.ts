import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { LRUCache } from 'lru-cache';
import { Agent, request } from 'undici';
import type { PeerRouter } from './PeerRouter.js';

/** Time to make a connection to a peer, in ms. */
const CONNECT_TIMEOUT_MS = 300;
const IDLE_TIMEOUT_MS = 4000;

/** Peers with a client; above the number of processes at the design size. */
const MAX_CLIENTS = 1000;

/** Path under which processes serve the calls of their peers. */
export const PEER_PATH = '/peer';

/** tRPC clients of other serving processes, by address. */
export class PeerClients {
  private readonly agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });

  private readonly clients = new LRUCache<string, TRPCClient<PeerRouter>>({ max: MAX_CLIENTS });

  to(address: string): TRPCClient<PeerRouter> {
    const known = this.clients.get(address);
    if (known) return known;
    const link = httpLink({
      url: `http://${address}${PEER_PATH}`,
      // The global fetch costs several times the processor time of a plain request.
      fetch: async (url, options) => {
        const response = await request(url.toString(), {
          method: options?.method as 'GET' | 'POST',
          headers: options?.headers as Record<string, string>,
          body: options?.body as string | null,
          signal: options?.signal,
          dispatcher: this.agent,
        });
        return {
          ok: response.statusCode < 300,
          status: response.statusCode,
          json: () => response.body.json(),
        };
      },
    });
    const client = createTRPCClient<PeerRouter>({ links: [link] });
    this.clients.set(address, client);
    return client;
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }
}
