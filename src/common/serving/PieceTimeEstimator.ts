import type { StageCapacity } from './ServingConfiguration.js';
import type { PieceReference } from './Types.js';

/** Fraction of a call's estimation error by which the estimates are corrected. */
const CORRECTION_SHARE = 0.2;

/**
 * Bounds of the estimates, as multiples of the configured time. They limit the effect of servers
 * that are slow for a while.
 */
const MIN_FACTOR = 0.1;
const MAX_FACTOR = 2;

/** Estimates the time of a piece for each kind of work from the durations of calls. */
export class PieceTimeEstimator {
  private readonly estimates = new Map<string, number>();

  /** @param capacity - returns the configured times, used as the initial estimates */
  constructor(private readonly capacity: () => StageCapacity) {}

  /**
   * @param work - kind of work of the task
   * @returns expected time of one piece, in ms
   */
  pieceMs(work: string): number {
    return this.estimates.get(work) ?? this.capacity().pieceMs;
  }

  /**
   * @param pieces - pieces of the call
   * @returns expected duration of the call, in ms
   */
  callMs(pieces: readonly PieceReference[]): number {
    return pieces.reduce((sum, { task }) => sum + this.pieceMs(task.work), this.capacity().callMs);
  }

  /**
   * Corrects the estimates with the duration of a finished call. Each kind of work is corrected in
   * proportion to its share of the call's pieces.
   * @param pieces - pieces of the call
   * @param durationMs - actual duration of the call, in ms
   */
  recordCall(pieces: readonly PieceReference[], durationMs: number): void {
    const { pieceMs } = this.capacity();
    const error = (durationMs - this.callMs(pieces)) / pieces.length;
    const counts = new Map<string, number>();
    pieces.forEach(({ task }) => counts.set(task.work, (counts.get(task.work) ?? 0) + 1));
    counts.forEach((count, work) => {
      const corrected = this.pieceMs(work) + (CORRECTION_SHARE * error * count) / pieces.length;
      const bounded = Math.max(pieceMs * MIN_FACTOR, Math.min(pieceMs * MAX_FACTOR, corrected));
      this.estimates.set(work, bounded);
    });
  }
}
