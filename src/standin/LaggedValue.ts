import { performance } from 'node:perf_hooks';

/** Pruning drops values older than this, except the newest of them. */
const HISTORY_MS = 60_000;
/** Maximum number of changes retained. A load report can change thousands of times per second. */
const MAX_HISTORY = 4096;

/** Value with a history, which allows reads with a lag. */
export class LaggedValue<T> {
  private history: { at: number; value: T }[];

  /** @param initial - value before the first change */
  constructor(initial: T) {
    this.history = [{ at: -Infinity, value: initial }];
  }

  /** @param value - new current value */
  set(value: T): void {
    const now = performance.now();
    this.history.push({ at: now, value });
    if (this.history.length > MAX_HISTORY) this.prune(now);
  }

  /**
   * Reads the value as of an earlier time.
   * @param lagMs - age of the state to read, in milliseconds
   * @returns the value that was current at that time, or the oldest value retained
   */
  valueWithLag(lagMs: number): T {
    const at = performance.now() - lagMs;
    const entry = this.history.findLast((candidate) => candidate.at <= at) ?? this.history[0];
    return entry!.value;
  }

  private prune(now: number): void {
    const firstInWindow = this.history.findIndex((entry) => entry.at > now - HISTORY_MS);
    const keepFrom = Math.max(firstInWindow - 1, this.history.length - MAX_HISTORY / 2);
    this.history = this.history.slice(keepFrom);
  }
}
