import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { ServerLinks } from './ServerLinks.js';

/** Part of a server's connections that all processes together use; the rest covers restarts. */
const USED_SHARE = 0.8;

/** What {@link Connections} needs to know of the deployment. */
export interface ConnectionShares {
  /** @returns connections that one server of the service takes */
  maxConnections(service: string): number;
  /** @returns processes that share them */
  processes(): number;
}

/** Connections to all backend servers, by server. */
export class Connections {
  private readonly links = new Map<string, ServerLinks>();

  constructor(
    private readonly clock: Clock,
    private readonly shares: ConnectionShares,
  ) {}

  /** @returns connections to the server, made on first use */
  to(server: BackendServer): ServerLinks {
    const known = this.links.get(server.id);
    if (known && known.server.address === server.address) return known;
    known?.close();
    const links = new ServerLinks(server, this.clock, () => this.shareOf(server));
    this.links.set(server.id, links);
    return links;
  }

  /** Closes the connections to a server that left. Requests in progress finish. */
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
