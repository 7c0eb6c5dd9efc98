import type { Clock } from '../time/Types.js';

/** Number of most recent results that an estimate is computed from. */
const WINDOW = 32;

/**
 * Time after the last result at which an estimate expires. Without expiry, an estimate from a slow
 * period would make every later attempt infeasible, and no result could correct it.
 */
const ESTIMATE_TTL_MS = 5000;

/**
 * Quantile of the service time by which an attempt is judged infeasible. The median would refuse
 * attempts of which half would still finish in time.
 */
const FAST_SHARE = 0.1;

interface Window {
  readonly samples: number[];
  medianMs: number;
  fastMs: number;
  updatedAt: number;
}

/** Estimates service times by key from the most recent results. */
export class ServiceTimes {
  private readonly windows = new Map<string, Window>();

  /** @param clock - monotonic time */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the service time of a result.
   * @param key - template, stage and model
   * @param serviceMs - service time in milliseconds
   */
  record(key: string, serviceMs: number): void {
    const window = this.current(key) ?? { samples: [], medianMs: 0, fastMs: 0, updatedAt: 0 };
    window.samples.push(serviceMs);
    if (window.samples.length > WINDOW) window.samples.shift();
    const sorted = [...window.samples].sort((left, right) => left - right);
    window.medianMs = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
    window.fastMs = sorted[Math.floor((sorted.length - 1) * FAST_SHARE)] ?? 0;
    window.updatedAt = this.clock.now();
    this.windows.set(key, window);
  }

  /**
   * @param key - template, stage and model
   * @returns median service time in milliseconds; 0 without a current estimate
   */
  expectedMs(key: string): number {
    return this.current(key)?.medianMs ?? 0;
  }

  /**
   * @param key - template, stage and model
   * @returns service time in milliseconds that only few results undercut; 0 without a current
   *   estimate
   */
  fastMs(key: string): number {
    return this.current(key)?.fastMs ?? 0;
  }

  private current(key: string): Window | undefined {
    const window = this.windows.get(key);
    if (!window) return undefined;
    if (this.clock.now() - window.updatedAt <= ESTIMATE_TTL_MS) return window;
    this.windows.delete(key);
    return undefined;
  }
}
