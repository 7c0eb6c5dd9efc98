/** Interfaces for injected time and randomness, which make decisions reproducible in tests. */

/** Source of time. All times are in milliseconds. */
export interface Clock {
  /** @returns monotonic time in milliseconds; only differences are meaningful */
  now(): number;
  /** @returns wall-clock time in milliseconds since 1970-01-01 UTC */
  wallTime(): number;
}

/** Source of pseudo-random numbers. */
export interface RandomSource {
  /** @returns number in the range from 0 (inclusive) to 1 (exclusive) */
  next(): number;
}
