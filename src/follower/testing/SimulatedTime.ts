import { setImmediate } from 'node:timers/promises';
import type { Clock } from '../../common/time/Types.js';
import type { Timers } from '../Types.js';

/** A process that can be paused: its actions that fall into the pause happen at its end. */
export interface SimulatedProcess {
  pausedUntilMs: number;
}

interface Action {
  atMs: number;
  readonly owner: SimulatedProcess;
  readonly run: () => void;
}

/** Clock and timers of a test. Time passes only in {@link SimulatedTime.advanceTo}. */
export class SimulatedTime implements Clock {
  private nowMs = 0;

  private queue: Action[] = [];

  now(): number {
    return this.nowMs;
  }

  wallTime(): number {
    return this.nowMs;
  }

  /**
   * @param owner - process that the timers belong to
   * @returns timers
   */
  timersOf(owner: SimulatedProcess): Timers {
    return {
      after: (delayMs, run) => {
        const action = { atMs: this.nowMs + delayMs, owner, run };
        this.insert(action);
        return {
          dispose: () => {
            this.queue = this.queue.filter((item) => item !== action);
          },
        };
      },
    };
  }

  /**
   * Runs all actions up to a time, with the promises that each one settles.
   * @param untilMs - time to stop at
   */
  async advanceTo(untilMs: number): Promise<void> {
    await setImmediate();
    while (this.queue.length > 0 && this.queue[0]!.atMs <= untilMs) {
      const action = this.queue.shift()!;
      this.nowMs = Math.max(this.nowMs, action.atMs);
      if (action.owner.pausedUntilMs > this.nowMs) {
        action.atMs = action.owner.pausedUntilMs;
        this.insert(action);
        continue;
      }
      action.run();
      await setImmediate();
    }
    this.nowMs = untilMs;
  }

  /** Actions of the same time keep their order. */
  private insert(action: Action): void {
    const position = this.queue.findIndex((item) => item.atMs > action.atMs);
    this.queue.splice(position < 0 ? this.queue.length : position, 0, action);
  }
}
