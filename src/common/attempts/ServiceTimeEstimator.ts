import type { Clock } from '../time/Types.js';

/** Number of most recent results that an estimate is computed from. */
const WINDOW_RESULTS = 32;

/**
 * Time after the last result at which an estimate expires. Without expiry, an estimate from a slow
 * period would make every later attempt infeasible, and no result could correct it.
 */
const ESTIMATE_TTL_MS = 5000;

/**
 * Quantile of the service time by which an attempt is judged infeasible. The median would refuse
 * attempts of which half would still finish in time.
 */
const OPTIMISTIC_QUANTILE = 0.1;

interface Window {
  readonly samples: number[];
  medianMs: number;
  optimisticMs: number;
  updatedAt: number;
}

/** Estimates service times by key from the most recent results. */
export class ServiceTimeEstimator {
  private readonly windows = new Map<string, Window>();

  /** @param clock - monotonic time */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the service time of a result.
   * @param key - template, stage and model
   * @param serviceMs - service time in milliseconds
   */
  record(key: string, serviceMs: number): void {
    const window = this.currentWindow(key) ?? {
      samples: [],
      medianMs: 0,
      optimisticMs: 0,
      updatedAt: 0,
    };
    window.samples.push(serviceMs);
    if (window.samples.length > WINDOW_RESULTS) window.samples.shift();
    const sorted = [...window.samples].sort((left, right) => left - right);
    window.medianMs = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
    window.optimisticMs = sorted[Math.floor((sorted.length - 1) * OPTIMISTIC_QUANTILE)] ?? 0;
    window.updatedAt = this.clock.now();
    this.windows.set(key, window);
  }

  /**
   * @param key - template, stage and model
   * @returns median service time in milliseconds; 0 without a current estimate
   */
  expectedMs(key: string): number {
    return this.currentWindow(key)?.medianMs ?? 0;
  }

  /**
   * @param key - template, stage and model
   * @returns service time in milliseconds that only few results undercut; 0 without a current
   *   estimate
   */
  optimisticMs(key: string): number {
    return this.currentWindow(key)?.optimisticMs ?? 0;
  }

  private currentWindow(key: string): Window | undefined {
    const window = this.windows.get(key);
    if (!window) return undefined;
    if (this.clock.now() - window.updatedAt <= ESTIMATE_TTL_MS) return window;
    this.windows.delete(key);
    return undefined;
  }
}
