import { performance } from 'node:perf_hooks';
import type { Clock } from '../common/time/Types.js';

/** Clock of the operating system. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  wallTime(): number {
    return Date.now();
  }
}
