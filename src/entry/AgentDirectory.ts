import type { Disposable } from '../common/events/Types.js';
import type { Instance } from '../common/protocol/Membership.js';
import type { RoutedServer } from '../common/routing/Types.js';
import type { RandomSource } from '../common/time/Types.js';
import type { MembershipList } from '../storage/Types.js';

/** Share of the interval that is subtracted at random, so that entries do not poll in step. */
const JITTER_SHARE = 0.2;

/**
 * Lists the live agents of each pool. Polls the platform's membership list, which lags behind the
 * actual state of the instances.
 */
export class AgentDirectory implements Disposable {
  private readonly serversByPool = new Map<string, RoutedServer[]>();

  private instances: readonly Instance[] = [];

  private timer: NodeJS.Timeout | null = null;

  private disposed = false;

  private hasList = false;

  /**
   * @param membership - membership list of the platform
   * @param pollIntervalMs - longest time between reads of the list, in ms
   * @param random - source of the jitter between reads
   */
  constructor(
    private readonly membership: MembershipList,
    private readonly pollIntervalMs: number,
    private readonly random: RandomSource,
  ) {}

  /** Whether the list has been read at least once. */
  get ready(): boolean {
    return this.hasList;
  }

  /** Starts polling the list. After a failed read, the last list remains in use. */
  start(): void {
    this.poll().catch(() => undefined);
  }

  /** Reads the list once. */
  async refresh(): Promise<void> {
    const result = await this.membership.list({ timeoutMs: this.pollIntervalMs });
    if (!result.ok) return;
    this.hasList = true;
    if (result.value === this.instances) return;
    this.instances = result.value;
    this.serversByPool.clear();
    for (const instance of result.value) this.addAgent(instance);
  }

  /**
   * @param pool - name of a pool
   * @returns live backend servers of the pool
   */
  serversOf(pool: string): readonly RoutedServer[] {
    return this.serversByPool.get(pool) ?? [];
  }

  /** @returns all instances of the last list read, including leaving ones. */
  allInstances(): readonly Instance[] {
    return this.instances;
  }

  dispose(): void {
    this.disposed = true;
    if (this.timer) clearTimeout(this.timer);
  }

  private async poll(): Promise<void> {
    await this.refresh();
    if (this.disposed) return;
    const pauseMs = this.pollIntervalMs * (1 - JITTER_SHARE * this.random.next());
    this.timer = setTimeout(() => this.start(), pauseMs);
  }

  private addAgent(instance: Instance): void {
    if (instance.role !== 'agent' || instance.state !== 'live' || !instance.pool) return;
    const server: RoutedServer = {
      agentId: instance.id,
      address: instance.address,
      pool: instance.pool,
      failureDomain: instance.failureDomain,
      region: instance.region,
    };
    const pool = this.serversByPool.get(instance.pool);
    if (pool) pool.push(server);
    else this.serversByPool.set(instance.pool, [server]);
  }
}
