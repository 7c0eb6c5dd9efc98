import type { Load } from '../protocol/Attempt.js';

/** Half-life of a load report: others' work of that time has partly ended. */
const LOAD_HALF_LIFE_MS = 1000;

/** A report of draining is believed this long; then one attempt finds out whether it is over. */
const DRAINING_HINT_MS = 3000;

/** Weight of a new result in the running mean of slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Half-life of what is known about a server's speed, so that a slow one is tried again. */
const SLOWNESS_HALF_LIFE_MS = 10_000;

/** Slots assumed before an agent has reported. */
const DEFAULT_SLOTS = 1;

/** What the entry knows of one backend server. */
export class ServerState {
  /** Attempts of this entry that have not ended. */
  outstanding = 0;

  incarnation: string | null = null;

  /** Mean of service time over the typical time of the same stage; 1 is typical. */
  slowness = 1;

  private slownessAtMs = 0;

  /** Results since the start or the last ejection. */
  results = 0;

  consecutiveFailures = 0;

  private load: Load | null = null;

  private loadAtMs = 0;

  /** Running and waiting attempts of other entries at the time of the last report. */
  private othersAtReport = 0;

  /**
   * Takes a load report. It includes this entry's own attempts, which are counted without lag here.
   * @param load - load that the agent sees
   * @param nowMs - monotonic time
   */
  report(load: Load, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.othersAtReport = Math.max(0, load.running + load.waiting - this.outstanding);
  }

  /**
   * @param ratio - service time of a result over the typical time of its stage, null if not known
   * @param nowMs - monotonic time
   */
  addResult(ratio: number | null, nowMs: number): void {
    this.consecutiveFailures = 0;
    if (ratio === null) return;
    this.slowness += SLOWNESS_WEIGHT * (ratio - this.slowness);
    this.slownessAtMs = nowMs;
    this.results += 1;
  }

  /** Forgets past latency; what follows is judged anew. */
  resetResults(): void {
    this.slowness = 1;
    this.results = 0;
  }

  get slots(): number {
    return this.load?.slots ?? DEFAULT_SLOTS;
  }

  /** @returns expected time of a further attempt, relative to an idle typical server with one slot. */
  cost(nowMs: number): number {
    const faded = 2 ** (-(nowMs - this.slownessAtMs) / SLOWNESS_HALF_LIFE_MS);
    const slowness = Math.max(1, 1 + (this.slowness - 1) * faded);
    return (this.occupancy(nowMs) + 1 / this.slots) * slowness;
  }

  /** @returns estimated running and waiting attempts per slot. */
  occupancy(nowMs: number): number {
    return (this.outstanding + this.othersAtReport * this.decay(nowMs)) / this.slots;
  }

  /** @returns expected queueing time of a new attempt, in ms. */
  waitMs(nowMs: number): number {
    return (this.load?.waitMs ?? 0) * this.decay(nowMs);
  }

  isDraining(nowMs: number): boolean {
    return this.load?.draining === true && nowMs - this.loadAtMs < DRAINING_HINT_MS;
  }

  private decay(nowMs: number): number {
    return 2 ** (-(nowMs - this.loadAtMs) / LOAD_HALF_LIFE_MS);
  }
}
