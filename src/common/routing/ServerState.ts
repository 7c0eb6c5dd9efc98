import type { Load } from '../protocol/Attempt.js';

/**
 * Half-life of a load report, because part of the reported work of other entries has since ended.
 */
const LOAD_HALF_LIFE_MS = 1000;

/**
 * Time after which a report of draining expires, so that an attempt can find out whether it has
 * ended.
 */
const DRAINING_REPORT_TTL_MS = 3000;

/** Weight of a new result in the moving average of the slowness. */
const SLOWNESS_WEIGHT = 0.2;

/** Half-life of a server's slowness, so that a slow server is tried again. */
const SLOWNESS_HALF_LIFE_MS = 10_000;

/** Number of slots assumed until the agent has reported its load. */
const DEFAULT_SLOTS = 1;

/** Load, speed and failures of one backend server as known to this entry. */
export class ServerState {
  /** Attempts of this entry that have not ended. */
  outstanding = 0;

  /** Last known incarnation of the agent. */
  incarnation: string | null = null;

  /**
   * Moving average of the ratio of service time to the typical time of the same stage; 1 is
   * typical.
   */
  slowness = 1;

  private slownessAtMs = 0;

  /** Number of results since the start or the last ejection. */
  results = 0;

  /** Number of failed attempts since the last result. */
  consecutiveFailures = 0;

  private load: Load | null = null;

  private loadAtMs = 0;

  /** Running and waiting attempts of other entries at the time of the last report. */
  private otherAttemptsAtReport = 0;

  /**
   * Records a load report. The report includes the attempts of this entry. These are subtracted,
   * because this entry counts them itself without delay.
   * @param load - load reported by the agent
   * @param nowMs - monotonic time
   */
  recordLoad(load: Load, nowMs: number): void {
    this.load = load;
    this.loadAtMs = nowMs;
    this.otherAttemptsAtReport = Math.max(0, load.running + load.waiting - this.outstanding);
  }

  /**
   * Records a result.
   * @param ratio - service time of the result divided by the typical time of its stage; null if
   *   unknown
   * @param nowMs - monotonic time
   */
  recordResult(ratio: number | null, nowMs: number): void {
    this.consecutiveFailures = 0;
    if (ratio === null) return;
    this.slowness += SLOWNESS_WEIGHT * (ratio - this.slowness);
    this.slownessAtMs = nowMs;
    this.results += 1;
  }

  /** Resets the slowness, so that the server is judged by later results only. */
  resetResults(): void {
    this.slowness = 1;
    this.results = 0;
  }

  /** Maximum number of concurrent runs on the server. */
  get slots(): number {
    return this.load?.slots ?? DEFAULT_SLOTS;
  }

  /**
   * @returns expected time of a further attempt, relative to an idle typical server with one slot
   */
  cost(nowMs: number): number {
    const slownessDecay = 2 ** (-(nowMs - this.slownessAtMs) / SLOWNESS_HALF_LIFE_MS);
    const slowness = Math.max(1, 1 + (this.slowness - 1) * slownessDecay);
    return (this.occupancy(nowMs) + 1 / this.slots) * slowness;
  }

  /** @returns estimated number of running and waiting attempts per slot */
  occupancy(nowMs: number): number {
    return (this.outstanding + this.otherAttemptsAtReport * this.loadDecay(nowMs)) / this.slots;
  }

  /** @returns expected queueing time of a new attempt, in milliseconds */
  waitMs(nowMs: number): number {
    return (this.load?.waitMs ?? 0) * this.loadDecay(nowMs);
  }

  /** Whether the agent has recently reported that the server is draining. */
  isDraining(nowMs: number): boolean {
    return this.load?.draining === true && nowMs - this.loadAtMs < DRAINING_REPORT_TTL_MS;
  }

  /** Returns the factor by which the last load report is discounted. */
  private loadDecay(nowMs: number): number {
    return 2 ** (-(nowMs - this.loadAtMs) / LOAD_HALF_LIFE_MS);
  }
}
