import { performance } from 'node:perf_hooks';
import type { CacheEvent } from '../../common/protocol/Backend.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';

/** Events kept; a client that is further behind sees a gap. */
const MAX_EVENTS = 2000;
const MAX_EVENTS_PER_ANSWER = 500;

/** Cache events of an engine: shown late and with gaps. */
export class CacheEventLog {
  private readonly events: { at: number; event: CacheEvent }[] = [];

  private readonly random: SeededRandom;

  private sequence = 0;

  /**
   * @param gapShare - share of events that are never shown
   * @param seed - seed of the choice
   */
  constructor(
    private readonly gapShare: number,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Number of events, shown or not. */
  get count(): number {
    return this.sequence;
  }

  /**
   * @param type - what happened
   * @param block - hash of the prompt prefix
   */
  record(type: CacheEvent['type'], block: number): void {
    this.sequence += 1;
    if (this.random.next() < this.gapShare) return;
    this.events.push({ at: performance.now(), event: { sequence: this.sequence, type, block } });
    if (this.events.length > 2 * MAX_EVENTS) this.events.splice(0, MAX_EVENTS);
  }

  /**
   * @param after - sequence number of the last event known
   * @param lagMs - age of the newest event shown, in milliseconds
   * @returns events in order
   */
  list(after: number, lagMs: number): CacheEvent[] {
    const newest = performance.now() - lagMs;
    return this.events
      .filter((entry) => entry.event.sequence > after && entry.at <= newest)
      .slice(0, MAX_EVENTS_PER_ANSWER)
      .map((entry) => entry.event);
  }
}
