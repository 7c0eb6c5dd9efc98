import type { Clock } from '../time/Types.js';
import { rankByHash } from './RendezvousHashing.js';

/**
 * Time for which a silent process still counts, in ms. It may be on the other side of a partition and
 * send its share.
 */
const KNOWN_PROCESS_MS = 300_000;

/** Interval of checks for processes that no longer count, in ms. */
const PRUNE_INTERVAL_MS = 1000;

/** Time in which the heartbeats of all processes that know this one arrive, in ms. */
const SETTLE_MS = 1000;

/** Time after which a process takes a share although the store does not show its row, in ms. */
const SETTLE_WITHOUT_ROW_MS = 5000;

/** Maximum number of processes that count; the ones heard of least recently go first. */
const MAX_PROCESSES = 1000;

/** Maximum number of servers whose ranking of processes is kept. */
const MAX_RANKINGS = 1000;

/**
 * Divides the rate of a cold server among the processes without coordination.
 *
 * Handles processes that do not know the fleet: after a start, in a partition, without the store. A
 * process that may be missing others takes no share or that of one of many; one that has fallen
 * silent keeps its share.
 */
export class ProcessShares {
  /** Time of the last sign of each other process, on the clock, in ms. */
  private readonly known = new Map<string, number>();

  /** Ids of all processes, first rank first, by server id; discarded when the processes change. */
  private readonly rankings = new Map<string, readonly string[]>();

  private ownRowReadAt: number | undefined;

  private firstSignAt: number | undefined;

  private prunedAt = -Infinity;

  /**
   * @param clock - time source
   * @param ownId - id of this process
   * @param isLeaving - returns whether this process is stopping and has no share
   */
  constructor(
    private readonly clock: Clock,
    private readonly ownId: string,
    private readonly isLeaving: () => boolean,
  ) {}

  /** Records a heartbeat of another process. */
  recordHeartbeat(id: string, isLeaving: boolean): void {
    const now = this.clock.now();
    this.firstSignAt ??= now;
    if (!isLeaving) this.add(id, now);
    else if (this.known.delete(id)) this.rankings.clear();
  }

  /** Records that the table of processes lists a process; a row may outlive its process. */
  recordRow(id: string): void {
    const now = this.clock.now();
    this.firstSignAt ??= now;
    if (id === this.ownId) this.ownRowReadAt ??= now;
    else if (!this.known.has(id)) this.add(id, now);
  }

  /**
   * @param serverId - id of a server
   * @param maxSharers - number of processes that may share its rate
   * @returns share of this process, 0 to 1
   */
  share(serverId: string, maxSharers: number): number {
    return this.shareOf(serverId, maxSharers, (id) => id === this.ownId);
  }

  /**
   * Share of a process that sends for all others that it sees alive.
   * @param serverId - id of a server
   * @param maxSharers - number of processes that may share its rate
   * @param isLive - returns whether another process is alive
   * @returns sum of their shares, 0 to 1
   */
  shareOfLive(serverId: string, maxSharers: number, isLive: (id: string) => boolean): number {
    return this.shareOf(serverId, maxSharers, (id) => id === this.ownId || isLive(id));
  }

  private shareOf(
    serverId: string,
    maxSharers: number,
    isCounted: (id: string) => boolean,
  ): number {
    if (this.isLeaving() || !this.isSettled) return 0;
    this.prune();
    const ranking = this.rankingFor(serverId);
    const isComplete = this.ownRowReadAt !== undefined;
    const sharers = isComplete ? Math.min(maxSharers, ranking.length) : maxSharers;
    return ranking.slice(0, sharers).filter(isCounted).length / sharers;
  }

  /** Whether each process that shares the rate knows this one, or this one knows it. */
  private get isSettled(): boolean {
    const now = this.clock.now();
    return (
      now - (this.ownRowReadAt ?? Infinity) >= SETTLE_MS ||
      now - (this.firstSignAt ?? Infinity) >= SETTLE_WITHOUT_ROW_MS
    );
  }

  private add(id: string, now: number): void {
    if (id === this.ownId) return;
    if (!this.known.delete(id)) this.rankings.clear();
    this.known.set(id, now);
    if (this.known.size > MAX_PROCESSES) this.known.delete(this.known.keys().next().value!);
  }

  private prune(): void {
    const now = this.clock.now();
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    this.known.forEach((heardAt, id) => {
      if (now - heardAt < KNOWN_PROCESS_MS) return;
      this.known.delete(id);
      this.rankings.clear();
    });
  }

  private rankingFor(serverId: string): readonly string[] {
    const kept = this.rankings.get(serverId);
    if (kept) return kept;
    const processes = [this.ownId, ...this.known.keys()].map((id) => ({ id, weight: 1 }));
    const ranking = rankByHash(processes, serverId).map(({ id }) => id);
    if (this.rankings.size >= MAX_RANKINGS) this.rankings.clear();
    this.rankings.set(serverId, ranking);
    return ranking;
  }
}
