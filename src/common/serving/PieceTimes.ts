import type { StageCapacity } from './ServingConfiguration.js';
import type { PieceReference } from './StageQueue.js';

/** Part of a call's error by which the estimates are corrected. */
const GAIN = 0.2;

/** Estimates stay within these multiples of the configured time; servers may be slow for a time. */
const MIN_FACTOR = 0.1;
const MAX_FACTOR = 2;

/** Mean time of a piece by kind of work, learned from the durations of calls. */
export class PieceTimes {
  private readonly estimates = new Map<string, number>();

  /** @param capacity - configured times */
  constructor(private readonly capacity: () => StageCapacity) {}

  /** @returns expected time of one piece, in ms */
  of(work: string): number {
    return this.estimates.get(work) ?? this.capacity().pieceMs;
  }

  /** @returns expected duration of a call, in ms */
  callMs(pieces: readonly PieceReference[]): number {
    return pieces.reduce((sum, { task }) => sum + this.of(task.work), this.capacity().callMs);
  }

  /** Corrects the estimates of the kinds of work in a call by their shares of its pieces. */
  note(pieces: readonly PieceReference[], durationMs: number): void {
    const { pieceMs } = this.capacity();
    const error = (durationMs - this.callMs(pieces)) / pieces.length;
    const counts = new Map<string, number>();
    pieces.forEach(({ task }) => counts.set(task.work, (counts.get(task.work) ?? 0) + 1));
    counts.forEach((count, work) => {
      const corrected = this.of(work) + (GAIN * error * count) / pieces.length;
      const bounded = Math.max(pieceMs * MIN_FACTOR, Math.min(pieceMs * MAX_FACTOR, corrected));
      this.estimates.set(work, bounded);
    });
  }
}
