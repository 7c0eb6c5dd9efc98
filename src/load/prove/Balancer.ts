import type { Cluster } from '../launch/Cluster.js';
import type { EntryInstance } from '../launch/Types.js';
import { isReady } from '../launch/Readiness.js';

/** Interval of health checks, in milliseconds. */
const HEALTH_CHECK_MS = 100;

/** Health checks of the platform's balancer. */
export class Balancer {
  /** Entries that were ready at the last check; those before if none was. */
  healthy: readonly EntryInstance[];

  private readonly timer: NodeJS.Timeout;

  /** @param cluster - cluster whose entries are checked; those of the baseline are not */
  constructor(private readonly cluster: Cluster) {
    this.healthy = cluster.entries;
    this.timer = setInterval(() => {
      this.check().catch(() => undefined);
    }, HEALTH_CHECK_MS);
  }

  /** Ends the health checks. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async check(): Promise<void> {
    if (this.cluster.naive) return;
    const { entries } = this.cluster;
    const states = await Promise.all(entries.map((entry) => isReady(entry.address)));
    const ready = entries.filter((_entry, position) => states[position]);
    if (ready.length > 0) this.healthy = ready;
  }
}
