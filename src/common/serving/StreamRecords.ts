import type { Clock } from '../time/Types.js';
import type { StreamGroup, StreamOrigins } from './StreamOrigins.js';

/** Most streams in a row, so that it stays within the size that the store allows. */
const MAX_ROW_STREAMS = 700;

/** Most rows of a process; the oldest streams go first. */
const MAX_ROWS = 64;

/** Rows that hold the streams of one lifetime under little load. */
const ROWS_PER_LIFETIME = 8;

/** Row of the store that is due to be written. */
export interface StreamRow {
  readonly slot: number;
  readonly streams: readonly StreamGroup[];
}

/** Streams that began at about the same time. */
interface Batch {
  /** On the clock, in ms. */
  readonly openedAt: number;
  /** When the last stream was added, on the clock, in ms. */
  changedAt: number;
  readonly streamIds: string[];
  /** Slot of the row; undefined until it is first written. */
  slot: number | undefined;
  isDue: boolean;
}

/**
 * Divides the streams that can still be taken up among a bounded number of rows in the store. Rows are
 * used again when the streams in them can no longer be taken up.
 */
export class StreamRecords {
  /** Oldest first. */
  private batches: Batch[] = [];

  /** Slots of rows from earlier lives of this process, and when they may be overwritten, on the clock. */
  private readonly reserved = new Map<number, number>();

  /**
   * @param clock - time source
   * @param origins - where the streams began
   * @param lifetimeMs - returns the longest time from the begin of a stream until it is taken up, in ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly origins: Pick<StreamOrigins, 'groupsOf'>,
    private readonly lifetimeMs: () => number,
  ) {}

  /** Whether rows are due to be written. */
  get isDue(): boolean {
    return this.batches.some(({ isDue }) => isDue);
  }

  /** Adds a stream, whose row is then due. */
  add(streamId: string): void {
    const now = this.clock.now();
    const last = this.batches.at(-1);
    const isOpen =
      last !== undefined &&
      last.streamIds.length < MAX_ROW_STREAMS &&
      now - last.openedAt < this.lifetimeMs() / ROWS_PER_LIFETIME;
    const batch = isOpen ? last : this.openBatch(now);
    batch.streamIds.push(streamId);
    batch.changedAt = now;
    batch.isDue = true;
  }

  /** Makes all rows due, after the store has lost some. */
  markAllDue(): void {
    this.batches.forEach((batch) => Object.assign(batch, { isDue: true }));
  }

  /** Keeps rows from earlier lives of this process for as long as their streams can be taken up. */
  reserve(slots: readonly number[]): void {
    const endsAt = this.clock.now() + this.lifetimeMs();
    slots.forEach((slot) => this.reserved.set(slot, endsAt));
  }

  /** @returns the next row to write, which is then no longer due */
  takeDue(): StreamRow | undefined {
    this.removeEnded();
    const batch = this.batches.find(({ isDue }) => isDue);
    if (!batch) return undefined;
    batch.isDue = false;
    batch.slot ??= this.freeSlot();
    return { slot: batch.slot, streams: this.origins.groupsOf(batch.streamIds) };
  }

  /** Records that a row was not written, so that it is due again. */
  recordFailure({ slot }: StreamRow): void {
    const batch = this.batches.find((each) => each.slot === slot);
    if (batch) batch.isDue = true;
  }

  private openBatch(now: number): Batch {
    this.removeEnded();
    const batch: Batch = {
      openedAt: now,
      changedAt: now,
      streamIds: [],
      slot: undefined,
      isDue: false,
    };
    this.batches.push(batch);
    if (this.batches.length > MAX_ROWS) this.batches.shift();
    return batch;
  }

  private removeEnded(): void {
    const now = this.clock.now();
    const oldest = now - this.lifetimeMs();
    this.batches = this.batches.filter(({ changedAt }) => changedAt >= oldest);
    this.reserved.forEach((endsAt, slot) => endsAt <= now && this.reserved.delete(slot));
  }

  private freeSlot(): number {
    const used = new Set([...this.reserved.keys(), ...this.batches.map(({ slot }) => slot)]);
    let slot = 0;
    while (used.has(slot)) slot += 1;
    return slot;
  }
}
