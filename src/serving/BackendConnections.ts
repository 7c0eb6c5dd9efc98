import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import { ServerConnectionPool, type PoolLimits } from './ServerConnectionPool.js';

/** Share of a server's connections that all processes together use; the rest covers restarts. */
const USABLE_CONNECTION_SHARE = 0.8;

/** Limits of the deployment, from which the connections of one process are derived. */
export interface ConnectionLimits extends PoolLimits {
  /** @returns most connections that one server of the service accepts, from all processes */
  maxConnections(service: string): number;
  /** @returns number of processes that share these connections */
  processCount(): number;
  /** Most connections of this process to all servers together; each takes a descriptor. */
  readonly totalConnections?: number;
}

/** Connection pools of all backend servers. */
export class BackendConnections {
  private readonly pools = new Map<string, ServerConnectionPool>();

  /**
   * @param clock - time source
   * @param limits - limits of the whole deployment
   */
  constructor(
    private readonly clock: Clock,
    private readonly limits: ConnectionLimits,
  ) {}

  /** @returns connection pool of the server, which is created on first use */
  to(server: BackendServer): ServerConnectionPool {
    const known = this.pools.get(server.id);
    if (known && known.server.address === server.address) return known;
    known?.close();
    const pool = new ServerConnectionPool(
      server,
      this.clock,
      () => this.connectionLimit(server),
      this.limits,
    );
    this.pools.set(server.id, pool);
    return pool;
  }

  /** Closes the connections to a server that was removed. Requests in progress continue. */
  disconnect(server: BackendServer): void {
    this.pools.get(server.id)?.close();
    this.pools.delete(server.id);
  }

  /** Closes idle connections to all servers. */
  dispose(): void {
    this.pools.forEach((pool) => pool.close());
    this.pools.clear();
  }

  private connectionLimit(server: BackendServer): number {
    const all = this.limits.maxConnections(server.service) * USABLE_CONNECTION_SHARE;
    const share = Math.floor(all / Math.max(1, this.limits.processCount()));
    return Math.max(1, Math.min(share, this.freeConnections(server)));
  }

  /** @returns connections that are open to the server or not used by any */
  private freeConnections({ id }: BackendServer): number {
    let free = this.limits.totalConnections ?? Infinity;
    if (free === Infinity) return free;
    this.pools.forEach((pool, serverId) => {
      if (serverId !== id) free -= pool.size;
    });
    return free;
  }
}
