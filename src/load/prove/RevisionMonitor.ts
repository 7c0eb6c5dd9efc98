import { setTimeout as sleep } from 'node:timers/promises';
import type { EntryRouter } from '../../entry/EntryRouter.js';
import { createClientLookup } from '../../follower/ConfigurationClients.js';
import { INTERNAL_TOKEN, type Cluster } from '../launch/Cluster.js';
import type { ManagedProcess } from '../launch/ManagedProcess.js';

/** Time within which an accepted change must be in force, in milliseconds. */
const IN_FORCE_BOUND_MS = 5000;

const POLL_INTERVAL_MS = 100;
const CALL_TIMEOUT_MS = 400;

/** Above every revision, so that the response contains no changes, only the current revision. */
const NO_CHANGES_AFTER = 1e9;

/** Revision of an accepted change. */
export interface AcceptedRevision {
  readonly revision: number;
  /** Wall-clock time at which the operator received the answer, in milliseconds. */
  readonly at: number;
}

/**
 * Polls the configuration revision of every entry and agent and detects late changes and reverts.
 */
export class RevisionMonitor {
  readonly violations: string[] = [];

  /**
   * Longest time from acceptance of a change until an undisturbed process has it in force, in ms.
   */
  slowestMs = 0;

  private readonly accepted: AcceptedRevision[] = [];

  private readonly clientAt = createClientLookup<EntryRouter>(INTERNAL_TOKEN);

  private stopped = false;

  private pollLoops: Promise<void>[] = [];

  constructor(private readonly cluster: Cluster) {}

  /** @param change - accepted change, which must come into force at every process in time */
  add(change: AcceptedRevision): void {
    this.accepted.push(change);
  }

  /** Starts polling all processes. */
  start(): void {
    const members = [...this.cluster.entries, ...this.cluster.agents];
    this.pollLoops = members.map(({ address, process }) => this.poll(address, process));
  }

  /** Stops polling. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.pollLoops);
  }

  private async poll(address: string, process: ManagedProcess): Promise<void> {
    let lastSeen = { pid: process.pid, revision: 0, highestReported: 0 };
    while (!this.stopped) {
      const { pid } = process;
      const revision = await this.fetchRevision(address);
      if (pid !== lastSeen.pid) lastSeen = { pid, revision: 0, highestReported: 0 };
      if (revision !== undefined && process.pid === pid) {
        if (revision < lastSeen.revision) {
          this.violations.push(
            `${process.name}: reverted from ${lastSeen.revision} to ${revision}`,
          );
        }
        this.checkPropagation(process, revision, lastSeen);
        lastSeen.revision = revision;
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private checkPropagation(
    process: ManagedProcess,
    revision: number,
    lastSeen: { revision: number; highestReported: number },
  ): void {
    const now = Date.now();
    const { undisturbedMs } = process;
    const newlyInForce = this.accepted.filter(
      (change) => change.revision > lastSeen.revision && change.revision <= revision,
    );
    newlyInForce.forEach((change) => {
      this.slowestMs = Math.max(this.slowestMs, Math.min(now - change.at, undisturbedMs));
    });
    const state = lastSeen;
    this.accepted
      .filter((change) => change.revision > Math.max(revision, lastSeen.highestReported))
      .filter((change) => Math.min(now - change.at, undisturbedMs) > IN_FORCE_BOUND_MS)
      .forEach((change) => {
        state.highestReported = Math.max(state.highestReported, change.revision);
        const delay = `${now - change.at} ms after acceptance`;
        this.violations.push(`${process.name}: ${change.revision} not in force ${delay}`);
      });
  }

  private async fetchRevision(address: string): Promise<number | undefined> {
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
