import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Cluster } from '../launch/Cluster.js';
import { FAULT_ACTIONS, type FaultName } from './FaultActions.js';

/** Options of a fault injector. */
export interface FaultPlan {
  /** Faults to inject; each round injects all of them in a seeded order. */
  readonly faults: readonly FaultName[];
  /** Pools whose agents and backend servers are affected. */
  readonly pools: readonly string[];
  /** Mean time between the starts of two faults, in milliseconds. */
  readonly intervalMs: number;
}

/** Injects faults in a seeded order while other work runs, and counts the faults that occurred. */
export class FaultInjector {
  /** Number of occurrences by fault. */
  readonly counts: Record<string, number>;

  private readonly activeFaults: Promise<void>[] = [];

  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly plan: FaultPlan,
    private readonly random: SeededRandom,
  ) {
    this.counts = Object.fromEntries(plan.faults.map((fault) => [fault, 0]));
  }

  /**
   * Injects faults until the work has finished, then waits until all faults are cleared.
   * @param work - work during which faults are injected
   */
  async injectDuring(work: () => Promise<unknown>): Promise<void> {
    const injecting = this.run();
    await work();
    this.stopped = true;
    await injecting;
    await Promise.all(this.activeFaults);
  }

  /** Injects faults in rounds; each round injects every fault once. */
  private async run(): Promise<void> {
    while (!this.stopped) {
      for (const fault of this.shuffled()) {
        if (this.stopped) break;
        this.activeFaults.push(this.inject(fault));
        await sleep(this.plan.intervalMs * (0.5 + this.random.next()));
      }
    }
  }

  private async inject(fault: FaultName): Promise<void> {
    const { cluster, random } = this;
    const occurrences = await FAULT_ACTIONS[fault]({ cluster, random, pools: this.plan.pools });
    this.counts[fault] = (this.counts[fault] ?? 0) + occurrences;
  }

  private shuffled(): FaultName[] {
    return this.plan.faults
      .map((fault) => ({ fault, rank: this.random.next() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ fault }) => fault);
  }
}
