import { setTimeout as sleep } from 'node:timers/promises';
import type { EntryRouter } from '../../entry/EntryRouter.js';
import { createClients } from '../../follower/ConfigurationClients.js';
import { INTERNAL_TOKEN, type Cluster } from '../launch/Cluster.js';
import type { ManagedProcess } from '../launch/ManagedProcess.js';

/** Bound of the promise. */
const IN_FORCE_BOUND_MS = 5000;

const POLL_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 400;

/** Asks for no changes, only for the revision known. */
const NO_CHANGES_AFTER = 1e9;

/** An accepted change. */
export interface Accepted {
  readonly revision: number;
  /** Wall-clock milliseconds at which the operator learned of it. */
  readonly at: number;
}

/** Watches the revision of every entry and agent. */
export class RevisionWatch {
  readonly violations: string[] = [];

  /** Longest time between acceptance and force at an undisturbed process, in milliseconds. */
  slowestMs = 0;

  private readonly accepted: Accepted[] = [];

  private readonly clientAt = createClients<EntryRouter>(INTERNAL_TOKEN);

  private stopped = false;

  private loops: Promise<void>[] = [];

  constructor(private readonly cluster: Cluster) {}

  /** @param change - change whose revision must be in force everywhere soon */
  add(change: Accepted): void {
    this.accepted.push(change);
  }

  /** Starts asking all processes. */
  start(): void {
    const members = [...this.cluster.entries, ...this.cluster.agents];
    this.loops = members.map(({ address, process }) => this.watch(address, process));
  }

  /** Stops asking. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.loops);
  }

  private async watch(address: string, process: ManagedProcess): Promise<void> {
    let held = { pid: process.pid, revision: 0, late: 0 };
    while (!this.stopped) {
      const { pid } = process;
      const revision = await this.revisionOf(address);
      if (pid !== held.pid) held = { pid, revision: 0, late: 0 };
      if (revision !== undefined && process.pid === pid) {
        if (revision < held.revision) {
          this.violations.push(`${process.name}: reverted from ${held.revision} to ${revision}`);
        }
        this.checkLateness(process, revision, held);
        held.revision = revision;
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private checkLateness(
    process: ManagedProcess,
    revision: number,
    held: { revision: number; late: number },
  ): void {
    const now = Date.now();
    const steadyMs = process.undisturbedMs;
    const fresh = this.accepted.filter(
      (change) => change.revision > held.revision && change.revision <= revision,
    );
    fresh.forEach((change) => {
      this.slowestMs = Math.max(this.slowestMs, Math.min(now - change.at, steadyMs));
    });
    const state = held;
    this.accepted
      .filter((change) => change.revision > Math.max(revision, held.late))
      .filter((change) => Math.min(now - change.at, steadyMs) > IN_FORCE_BOUND_MS)
      .forEach((change) => {
        state.late = Math.max(state.late, change.revision);
        const since = `${now - change.at} ms after acceptance`;
        this.violations.push(`${process.name}: ${change.revision} not in force ${since}`);
      });
  }

  private async revisionOf(address: string): Promise<number | undefined> {
    try {
      const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
      const input = { after: NO_CHANGES_AFTER };
      const answer = await this.clientAt(address).configuration.since.query(input, { signal });
      return answer.notice.revision;
    } catch {
      return undefined;
    }
  }
}
