import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './Types.js';

const UINT32_RANGE = 2 ** 32;

/**
 * Reproducible random source (xoroshiro128+ of pure-rand) for load generation, jitter and tests.
 */
export class SeededRandom implements RandomSource {
  private readonly generator;

  /** @param seed - integer; the same seed produces the same sequence */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  next(): number {
    // eslint-disable-next-line no-bitwise
    return (this.generator.next() >>> 0) / UINT32_RANGE;
  }
}
