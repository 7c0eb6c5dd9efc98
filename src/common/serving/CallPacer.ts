/** Weight of the newest call in the moving average of call durations. */
const DURATION_WEIGHT = 0.2;

/** Occupancy of the servers of a stage service. */
export interface ServiceLoad {
  /** Current time, on the clock, in ms. */
  readonly now: number;
  /** Number of healthy servers. */
  readonly serverCount: number;
  /** Number of healthy servers with capacity for another call. */
  readonly freeCount: number;
}

/**
 * Paces the starts of calls that carry fewer pieces than a full batch.
 *
 * Designed for a steady stream of pieces to servers that run one call at a time. If every free
 * server started a call as soon as pieces arrive, calls would start and end in step, and pieces
 * arriving shortly afterwards would wait for a full call duration. Starts are therefore spaced by
 * the mean call duration divided by the number of servers.
 */
export class CallPacer {
  private lastStartAt = -Infinity;

  private meanMs = 0;

  private earliestStartAt = -Infinity;

  /** Moving average of the expected call durations, in ms; 0 before the first call. */
  get meanCallMs(): number {
    return this.meanMs;
  }

  /** Time from which the next call may start, on the clock, as of the last {@link mayStart}. */
  get nextStartAt(): number {
    return this.earliestStartAt;
  }

  /**
   * Updates {@link nextStartAt}. A call may always start while all servers are free.
   * @param load - current occupancy of the service
   * @returns whether a call may start now
   */
  mayStart({ now, serverCount, freeCount }: ServiceLoad): boolean {
    const isIdle = freeCount === serverCount;
    this.earliestStartAt = isIdle ? now : this.lastStartAt + this.meanMs / serverCount;
    return now >= this.earliestStartAt;
  }

  /**
   * Records the start of a call.
   * @param now - start, on the clock, in ms
   * @param expectedMs - expected duration of the call, in ms
   */
  recordStart(now: number, expectedMs: number): void {
    this.lastStartAt = now;
    this.meanMs =
      this.meanMs === 0 ? expectedMs : this.meanMs + DURATION_WEIGHT * (expectedMs - this.meanMs);
  }
}
