import type { Clock } from '../time/Types.js';

interface WindowCounts {
  requests: number;
  repeats: number;
}

/** Intervals that a window is divided into. */
const INTERVALS = 10;

/** Part of the deployment's allowance that is used; the rest covers requests counted elsewhere. */
const SAFETY_SHARE = 0.6;

/** Allowance of a deployment, over all processes. */
export interface BudgetAllowance {
  /** Repeats over requests. */
  readonly ratio: number;
  /** Repeats allowed in a window without any requests. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Own share of the repeats that a service may get in a sliding window.
 *
 * Answers this load pattern: a service that fails many requests at once, whose repeats would
 * multiply its load just then.
 */
export class WindowBudget {
  private readonly intervals: (WindowCounts & { index: number })[] = [];

  /**
   * @param clock - time source
   * @param allowance - of the deployment
   * @param processes - number of processes that share the allowance
   */
  constructor(
    private readonly clock: Clock,
    private readonly allowance: BudgetAllowance,
    private readonly processes: () => number,
  ) {}

  noteRequest(): void {
    this.current().requests += 1;
  }

  /** @returns true if a repeat is allowed; it is then charged */
  trySpend(): boolean {
    const { requests, repeats } = this.totals();
    const slack = this.allowance.slack / Math.max(1, this.processes());
    const allowed = SAFETY_SHARE * (this.allowance.ratio * requests + slack);
    if (repeats + 1 > allowed) return false;
    this.current().repeats += 1;
    return true;
  }

  private totals(): WindowCounts {
    const oldest = this.indexNow() - INTERVALS;
    while ((this.intervals[0]?.index ?? Infinity) < oldest) this.intervals.shift();
    const total = { requests: 0, repeats: 0 };
    this.intervals.forEach(({ requests, repeats }) => {
      total.requests += requests;
      total.repeats += repeats;
    });
    return total;
  }

  private current(): WindowCounts {
    const index = this.indexNow();
    const newest = this.intervals.at(-1);
    if (newest?.index === index) return newest;
    const interval = { index, requests: 0, repeats: 0 };
    this.intervals.push(interval);
    if (this.intervals.length > 2 * INTERVALS) this.intervals.shift();
    return interval;
  }

  private indexNow(): number {
    return Math.floor((this.clock.now() * INTERVALS) / this.allowance.windowMs);
  }
}
