import type { Clock } from '../time/Types.js';
import { DecayedSum } from './DecayedSum.js';
import { countedPriority, type StageLoad } from './StageLoad.js';
import type { QueuedTask } from './Types.js';

/** Time in which the weight of earlier arrivals and starts is halved, in ms. */
const HALF_LIFE_MS = 1500;

/** Weight of the nominal rate in the measured one, in ms. */
const PRIOR_MS = 500;

/** Longest time between two starts that counts as busy, in ms; a call takes less. */
const MAX_START_GAP_MS = 500;

/**
 * Measures the load of a stage service: pieces that arrive, by priority, and pieces that the servers
 * start while others wait. The latter falls short of full calls when servers are slow or have no
 * memory for results.
 */
export class StageLoadMeter {
  private readonly arrivals = new Map<number, DecayedSum>();

  private readonly started = new DecayedSum(HALF_LIFE_MS);

  private readonly busyMs = new DecayedSum(HALF_LIFE_MS);

  private lastStartAt = 0;

  constructor(private readonly clock: Clock) {}

  /** Records pieces that arrive. */
  recordArrival(priority: number, pieces: number): void {
    const key = countedPriority(priority);
    const sum = this.arrivals.get(key) ?? new DecayedSum(HALF_LIFE_MS);
    sum.add(this.clock.now(), pieces);
    this.arrivals.set(key, sum);
  }

  /**
   * Records the start of a call.
   * @param pieces - pieces of the call
   * @param isBacklogged - whether pieces have been waiting since the previous start
   */
  recordStart(pieces: number, isBacklogged: boolean): void {
    const now = this.clock.now();
    const gapMs = now - this.lastStartAt;
    this.lastStartAt = now;
    if (!isBacklogged || gapMs > MAX_START_GAP_MS) return;
    this.started.add(now, pieces);
    this.busyMs.add(now, gapMs);
  }

  /**
   * @param waiting - tasks with waiting pieces
   * @param isOnTime - whether a task can still end by its due time
   * @param nominalPiecesPerMs - pieces per ms if all calls are full
   * @returns the current load
   */
  load(
    waiting: Iterable<QueuedTask>,
    isOnTime: (queued: QueuedTask) => boolean,
    nominalPiecesPerMs: number,
  ): StageLoad {
    const now = this.clock.now();
    const onTimePieces = new Map<number, number>();
    let latePieces = 0;
    for (const queued of waiting) {
      const { size } = queued.unassignedPieces;
      const key = countedPriority(queued.task.priority);
      if (isOnTime(queued)) onTimePieces.set(key, (onTimePieces.get(key) ?? 0) + size);
      else latePieces += size;
    }
    const keys = [...new Set([...onTimePieces.keys(), ...this.arrivals.keys()])];
    const perMs = Math.LN2 / HALF_LIFE_MS;
    const measured =
      (this.started.valueAt(now) + nominalPiecesPerMs * PRIOR_MS) /
      (this.busyMs.valueAt(now) + PRIOR_MS);
    return {
      piecesPerMs: Math.min(nominalPiecesPerMs, measured),
      latePieces,
      priorities: keys
        .sort((left, right) => left - right)
        .map((priority) => ({
          priority,
          onTimePieces: onTimePieces.get(priority) ?? 0,
          arrivalsPerMs: (this.arrivals.get(priority)?.valueAt(now) ?? 0) * perMs,
        })),
    };
  }
}
