/** Time and randomness as injected services, so that decisions are repeatable in tests. */

/** Source of time. All times are in milliseconds. */
export interface Clock {
  /** @returns monotonic time in milliseconds; only differences have a meaning. */
  now(): number;
  /** @returns wall-clock time in milliseconds since 1970-01-01 UTC. */
  wallTime(): number;
}

/** Source of pseudo-random numbers. */
export interface RandomSource {
  /** @returns a number at least 0 and below 1. */
  next(): number;
}
