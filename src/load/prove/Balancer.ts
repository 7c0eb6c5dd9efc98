import type { Cluster } from '../launch/Cluster.js';
import type { EntryInstance } from '../launch/Types.js';
import { isReady } from '../launch/Readiness.js';

/** Interval of the health checks, in milliseconds. */
const HEALTH_CHECK_MS = 100;

/** Simulates the health checks of the platform's load balancer. */
export class Balancer {
  /** Entries that were ready at the last check; unchanged by a check that finds no ready entry. */
  healthy: readonly EntryInstance[];

  private readonly timer: NodeJS.Timeout;

  /**
   * @param cluster - cluster whose entries are checked; entries of the naive baseline are always
   * healthy
   */
  constructor(private readonly cluster: Cluster) {
    this.healthy = cluster.entries;
    this.timer = setInterval(() => {
      this.check().catch(() => undefined);
    }, HEALTH_CHECK_MS);
  }

  /** Stops the health checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async check(): Promise<void> {
    if (this.cluster.isNaive) return;
    const { entries } = this.cluster;
    const states = await Promise.all(entries.map((entry) => isReady(entry.address)));
    const ready = entries.filter((_entry, position) => states[position]);
    if (ready.length > 0) this.healthy = ready;
  }
}
