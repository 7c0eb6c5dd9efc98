import type { Clock } from '../../time/Types.js';

/** Clock whose time is set by the test. */
export class ManualClock implements Clock {
  constructor(private current = 0) {}

  now(): number {
    return this.current;
  }

  wallTime(): number {
    return this.current;
  }

  /** @param time - monotonic and wall-clock time, in ms */
  set(time: number): void {
    this.current = time;
  }
}
