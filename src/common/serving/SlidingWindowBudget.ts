import type { Clock } from '../time/Types.js';

interface WindowCounts {
  /** First sends of requests. */
  requests: number;
  retries: number;
}

/** Number of intervals that a window is divided into. */
const INTERVALS_PER_WINDOW = 10;

/** Fraction of the allowance that is used; the rest is a margin for requests counted elsewhere. */
const USABLE_SHARE = 0.6;

/** Retries that a service may get from all processes of a deployment together. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Additional retries per window, which are also allowed without requests. */
  readonly slack: number;
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
}

/**
 * Limits the retries that this process sends to a service within a sliding window to its share of
 * the deployment's allowance.
 *
 * When a service fails many requests at once, unlimited retries would multiply its load while it is
 * least able to handle it.
 */
export class SlidingWindowBudget {
  private readonly intervals: (WindowCounts & { index: number })[] = [];

  /**
   * @param clock - time source
   * @param allowance - allowance of the whole deployment
   * @param processes - returns the number of processes that share the allowance
   */
  constructor(
    private readonly clock: Clock,
    private readonly allowance: RetryAllowance,
    private readonly processes: () => number,
  ) {}

  /** Counts a request, to which the allowed retries are proportional. */
  recordRequest(): void {
    this.currentInterval().requests += 1;
  }

  /** Whether a retry is allowed now. */
  get canSpend(): boolean {
    return this.isWithin(1);
  }

  /**
   * Charges a retry to the budget if it is allowed.
   * @param share - share of the budget, 0 to 1, up to which it is allowed
   * @returns whether the retry is allowed
   */
  trySpend(share = 1): boolean {
    if (!this.isWithin(share)) return false;
    this.currentInterval().retries += 1;
    return true;
  }

  private isWithin(share: number): boolean {
    const { requests, retries } = this.totals();
    const slack = this.allowance.slack / Math.max(1, this.processes());
    return retries + 1 <= share * USABLE_SHARE * (this.allowance.ratio * requests + slack);
  }

  private totals(): WindowCounts {
    const oldest = this.currentIndex() - INTERVALS_PER_WINDOW;
    while ((this.intervals[0]?.index ?? Infinity) < oldest) this.intervals.shift();
    const total = { requests: 0, retries: 0 };
    this.intervals.forEach(({ requests, retries }) => {
      total.requests += requests;
      total.retries += retries;
    });
    return total;
  }

  private currentInterval(): WindowCounts {
    const index = this.currentIndex();
    const newest = this.intervals.at(-1);
    if (newest?.index === index) return newest;
    const interval = { index, requests: 0, retries: 0 };
    this.intervals.push(interval);
    if (this.intervals.length > 2 * INTERVALS_PER_WINDOW) this.intervals.shift();
    return interval;
  }

  private currentIndex(): number {
    return Math.floor((this.clock.now() * INTERVALS_PER_WINDOW) / this.allowance.windowMs);
  }
}
