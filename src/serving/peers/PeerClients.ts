import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client';
import { LRUCache } from 'lru-cache';
import { fetchBounded } from '../../common/json/BoundedFetch.js';
import type { Logger } from '../../telemetry/Logger.js';
import { ChannelClient } from './ChannelClient.js';
import type { Heartbeat } from './PeerMessages.js';
import type { PeerRouter } from './PeerRouter.js';

/** Maximum number of cached clients, above the processes of the largest supported deployment. */
const MAX_CLIENTS = 1000;

/** Path prefix of the calls between processes. */
export const PEER_PATH = '/peer';

/** Connections to other serving processes. */
export class PeerClients {
  private readonly clients = new LRUCache<string, TRPCClient<PeerRouter>>({ max: MAX_CLIENTS });

  private readonly channels = new Map<string, ChannelClient>();

  constructor(private readonly logger: Logger) {}

  /** @returns tRPC client for infrequent calls to the peer */
  clientFor(address: string): TRPCClient<PeerRouter> {
    const known = this.clients.get(address);
    if (known) return known;
    const links = [httpLink({ url: `http://${address}${PEER_PATH}`, fetch: fetchBounded })];
    const client = createTRPCClient<PeerRouter>({ links });
    this.clients.set(address, client);
    return client;
  }

  /** @returns connection for stage requests to the peer incarnation that sent the heartbeat */
  channelFor({ channel, incarnation }: Heartbeat): ChannelClient {
    const key = `${channel}/${incarnation}`;
    const known = this.channels.get(key);
    if (known) return known;
    const client = new ChannelClient(channel, this.logger, () => {
      if (this.channels.get(key) === client) this.channels.delete(key);
    });
    this.channels.set(key, client);
    return client;
  }

  dispose(): void {
    this.channels.forEach((channel) => channel.close());
  }

  /** Closes the connection for stage requests to a dead peer; its pending requests end as lost. */
  closeChannel({ channel, incarnation }: Heartbeat): void {
    this.channels.get(`${channel}/${incarnation}`)?.close();
  }
}
