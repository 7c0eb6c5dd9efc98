import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Cluster } from '../launch/Cluster.js';
import { FAULT_ACTIONS, type FaultName } from './FaultActions.js';

/** Options of a fault injector. */
export interface FaultPlan {
  /** Faults to inject in turn, in seeded order. */
  readonly faults: readonly FaultName[];
  /** Pools whose agents and servers are hit. */
  readonly pools: readonly string[];
  /** Mean time between the starts of two faults, in milliseconds. */
  readonly intervalMs: number;
}

/** Injects faults in a seeded order until it is stopped, and counts what really happened. */
export class FaultInjector {
  readonly counts: Record<string, number>;

  private readonly running: Promise<void>[] = [];

  private stopped = false;

  constructor(
    private readonly cluster: Cluster,
    private readonly plan: FaultPlan,
    private readonly random: SeededRandom,
  ) {
    this.counts = Object.fromEntries(plan.faults.map((fault) => [fault, 0]));
  }

  /**
   * Injects faults while some work goes on, then waits until every fault was taken back.
   * @param work - work to disturb
   */
  async during(work: () => Promise<unknown>): Promise<void> {
    const injecting = this.run();
    await work();
    this.stopped = true;
    await injecting;
    await Promise.all(this.running);
  }

  /** Each fault is injected at least once in every round. */
  private async run(): Promise<void> {
    while (!this.stopped) {
      for (const fault of this.shuffled()) {
        if (this.stopped) break;
        this.running.push(this.inject(fault));
        await sleep(this.plan.intervalMs * (0.5 + this.random.next()));
      }
    }
  }

  private async inject(fault: FaultName): Promise<void> {
    const { cluster, random } = this;
    const happened = await FAULT_ACTIONS[fault]({ cluster, random, pools: this.plan.pools });
    this.counts[fault] = (this.counts[fault] ?? 0) + happened;
  }

  private shuffled(): FaultName[] {
    return this.plan.faults
      .map((fault) => ({ fault, rank: this.random.next() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ fault }) => fault);
  }
}
