/** Weight of the newest call in the mean duration. */
const GAIN = 0.2;

/** How many servers of a service there are, and how many of them work on nothing. */
export interface ServiceLoad {
  readonly now: number;
  readonly servers: number;
  readonly free: number;
}

/**
 * Spreads the starts of calls that are not full.
 *
 * Answers this load pattern: a steady stream of pieces at servers that take one call at a time. If
 * every free server took what waits at once, calls would start and end together, and pieces that
 * come just after would wait for a whole call. Instead, starts are as far apart as they would be if
 * the servers took turns evenly.
 */
export class CallPace {
  private lastStartAt = -Infinity;

  private meanMs = 0;

  private earliestAt = -Infinity;

  /** Mean expected duration of calls, in ms; 0 before the first. */
  get meanCallMs(): number {
    return this.meanMs;
  }

  /** Time at which the next call may start, on the clock. */
  get nextStartAt(): number {
    return this.earliestAt;
  }

  /** @returns true if a call may start now */
  mayStart({ now, servers, free }: ServiceLoad): boolean {
    const isIdle = free === servers;
    this.earliestAt = isIdle ? now : this.lastStartAt + this.meanMs / servers;
    return now >= this.earliestAt;
  }

  noteStart(now: number, expectedMs: number): void {
    this.lastStartAt = now;
    this.meanMs = this.meanMs === 0 ? expectedMs : this.meanMs + GAIN * (expectedMs - this.meanMs);
  }
}
