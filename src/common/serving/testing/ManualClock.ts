import type { Clock } from '../../time/Types.js';

/** Clock that tests set. */
export class ManualClock implements Clock {
  constructor(private current = 0) {}

  now(): number {
    return this.current;
  }

  wallTime(): number {
    return this.current;
  }

  set(time: number): void {
    this.current = time;
  }
}
