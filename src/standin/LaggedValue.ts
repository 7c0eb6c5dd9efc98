import { performance } from 'node:perf_hooks';

/** Values older than this are dropped, except the newest of them. */
const HISTORY_MS = 60_000;
/** Changes kept at most; a load report may change thousands of times a second. */
const MAX_HISTORY = 4096;

/** A value whose past states can be read. */
export class LaggedValue<T> {
  private history: { at: number; value: T }[];

  /** @param initial - value before the first change */
  constructor(initial: T) {
    this.history = [{ at: -Infinity, value: initial }];
  }

  /** @param value - value from now on */
  set(value: T): void {
    const now = performance.now();
    this.history.push({ at: now, value });
    if (this.history.length > MAX_HISTORY) this.prune(now);
  }

  /**
   * @param lagMs - age of the state to read, in milliseconds
   * @returns the value that was current this long ago
   */
  get(lagMs: number): T {
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
