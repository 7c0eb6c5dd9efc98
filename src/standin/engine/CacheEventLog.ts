import { performance } from 'node:perf_hooks';
import type { CacheEvent } from '../../common/protocol/Backend.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';

/** Number of events retained at least. A client that lags further behind sees a gap. */
const MAX_EVENTS = 2000;
const MAX_EVENTS_PER_RESPONSE = 500;

/** Log of the cache events of an engine. Events become visible late, and some are omitted. */
export class CacheEventLog {
  private readonly events: { at: number; event: CacheEvent }[] = [];

  private readonly random: SeededRandom;

  private sequence = 0;

  /**
   * @param gapShare - share of events that are omitted, 0 to 1
   * @param seed - seed of the random source that selects them
   */
  constructor(
    private readonly gapShare: number,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Number of events recorded, including omitted ones. */
  get count(): number {
    return this.sequence;
  }

  /**
   * Records an event.
   * @param type - type of the event
   * @param block - hash of the prompt prefix
   */
  record(type: CacheEvent['type'], block: number): void {
    this.sequence += 1;
    if (this.random.next() < this.gapShare) return;
    this.events.push({ at: performance.now(), event: { sequence: this.sequence, type, block } });
    if (this.events.length > 2 * MAX_EVENTS) this.events.splice(0, MAX_EVENTS);
  }

  /**
   * Lists events.
   * @param after - sequence number of the last event that the client received
   * @param lagMs - minimum age of the events, in milliseconds
   * @returns events in the order of their sequence numbers
   */
  list(after: number, lagMs: number): CacheEvent[] {
    const newest = performance.now() - lagMs;
    return this.events
      .filter((entry) => entry.event.sequence > after && entry.at <= newest)
      .slice(0, MAX_EVENTS_PER_RESPONSE)
      .map((entry) => entry.event);
  }
}
