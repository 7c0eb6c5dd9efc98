import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { ServerLinks } from './ServerLinks.js';

/** Share of a server's connections that all processes together use; the rest covers restarts. */
const USED_SHARE = 0.8;

/** Limits from which {@link Connections} derives the connections that one process may open. */
export interface ConnectionShares {
  /** @returns most connections that one server of the service accepts, from all processes */
  maxConnections(service: string): number;
  /** @returns number of processes that share these connections */
  processes(): number;
}

/** Connection pools of all backend servers. */
export class Connections {
  private readonly links = new Map<string, ServerLinks>();

  constructor(
    private readonly clock: Clock,
    private readonly shares: ConnectionShares,
  ) {}

  /** @returns connection pool of the server, which is created on first use */
  to(server: BackendServer): ServerLinks {
    const known = this.links.get(server.id);
    if (known && known.server.address === server.address) return known;
    known?.close();
    const links = new ServerLinks(server, this.clock, () => this.shareOf(server));
    this.links.set(server.id, links);
    return links;
  }

  /** Closes the connections to a server that was removed. Requests in progress continue. */
  drop(server: BackendServer): void {
    this.links.get(server.id)?.close();
    this.links.delete(server.id);
  }

  /** Closes idle connections to all servers. */
  dispose(): void {
    this.links.forEach((links) => links.close());
    this.links.clear();
  }

  private shareOf(server: BackendServer): number {
    const all = this.shares.maxConnections(server.service) * USED_SHARE;
    return Math.max(1, Math.floor(all / Math.max(1, this.shares.processes())));
  }
}
