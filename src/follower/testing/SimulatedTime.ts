import { setImmediate } from 'node:timers/promises';
import type { Clock } from '../../common/time/Types.js';
import type { Timers } from '../Types.js';

/** A process that can be paused: actions due during the pause run at its end. */
export interface SimulatedProcess {
  /** End of the pause on the simulated clock, in ms. */
  pausedUntilMs: number;
}

interface ScheduledAction {
  atMs: number;
  readonly owner: SimulatedProcess;
  readonly run: () => void;
}

/** Simulated clock and timers. Time passes only in {@link SimulatedTime.advanceTo}. */
export class SimulatedTime implements Clock {
  private nowMs = 0;

  private queue: ScheduledAction[] = [];

  now(): number {
    return this.nowMs;
  }

  wallTime(): number {
    return this.nowMs;
  }

  /**
   * Creates the timers of one process.
   * @param owner - process whose pauses delay the actions
   * @returns timers in simulated time
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
   * Advances the clock: runs all actions due by then, and after each the promise callbacks that it
   * queues.
   * @param untilMs - time on the simulated clock to stop at, in milliseconds
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

  /** Inserts by due time; actions due at the same time keep the order of insertion. */
  private insert(action: ScheduledAction): void {
    const position = this.queue.findIndex((item) => item.atMs > action.atMs);
    this.queue.splice(position < 0 ? this.queue.length : position, 0, action);
  }
}
