import type { Clock } from '../time/Types.js';

/** Newest results that the median is taken of. */
const WINDOW = 32;

/**
 * Without new results an estimate is dropped after this time. Otherwise a slow period would make every
 * later attempt look infeasible, and no result could correct the estimate.
 */
const ESTIMATE_TTL_MS = 5000;

/**
 * Share of results that are faster than the time used to call an attempt infeasible. The median would
 * refuse attempts of which half would still finish in time.
 */
const FAST_SHARE = 0.1;

interface Window {
  readonly samples: number[];
  medianMs: number;
  fastMs: number;
  updatedAt: number;
}

/** Learned service time by kind of work, from the newest results. */
export class ServiceTimes {
  private readonly windows = new Map<string, Window>();

  /** @param clock - monotonic time */
  constructor(private readonly clock: Clock) {}

  /**
   * @param key - kind of work
   * @param serviceMs - service time of one result
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
   * @param key - kind of work
   * @returns median service time in milliseconds, 0 if nothing is known
   */
  expectedMs(key: string): number {
    return this.current(key)?.medianMs ?? 0;
  }

  /**
   * @param key - kind of work
   * @returns service time in milliseconds that few results stay below, 0 if nothing is known
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
