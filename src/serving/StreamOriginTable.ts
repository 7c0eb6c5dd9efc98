import { z } from 'zod';
import { parseJson } from '../common/json/BoundedJson.js';
import { StreamGroup, type StreamOrigins } from '../common/serving/StreamOrigins.js';
import type { Clock } from '../common/time/Types.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';

/** Rows of a process, which it writes in turn, and time for which streams are added to one, in ms. */
const SLOTS = 64;
const SLOT_MS = 1000;

/** Most streams in a row, so that it stays within the size that the store allows. */
const MAX_ROW_STREAMS = 700;

/** Interval of the writes of a process, in ms: a fixed one, and one for each process of the fleet. */
const MIN_WRITE_INTERVAL_MS = 60;
const WRITE_INTERVAL_PER_PROCESS_MS = 20;

/** Shortest time between the starts of two reads, in ms. */
const READ_INTERVAL_MS = 100;

/** Time-outs, in ms; callers wait for reads. */
const WRITE_TIMEOUT_MS = 1000;
const READ_TIMEOUT_MS = 400;

const ROW_BOUNDS = { maxValues: 10_000 };

const Row = z.object({ streams: z.array(StreamGroup) });

/** Dependencies of {@link StreamOriginTable}. */
export interface StreamOriginTableServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly feed: RowFeed;
  readonly table: string;
  /** Beginning of the keys of the rows of this process. */
  readonly ownId: string;
  readonly origins: StreamOrigins;
  readonly processCount: () => number;
}

/**
 * Keeps in the store where streams began, so that it is known after all processes lost power. Streams
 * that begin at about the same time share a write. Each process writes a ring of rows, so the table
 * does not grow.
 */
export class StreamOriginTable {
  /** Streams in each slot that was filled in this life of the process. */
  private readonly slots = new Map<number, string[]>();

  /** Slots that have to be written. */
  private readonly changed = new Set<number>();

  private slot = -1;

  private slotStartedAt = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  private isWriting = false;

  private isDisposed = false;

  /** Whether the rows of earlier lives of this process were read, which the first writes must keep. */
  private hasLoaded = false;

  private loading: Promise<void> | undefined;

  /** A read that starts when the one in progress has ended. */
  private nextLoad: Promise<void> | undefined;

  private lastLoadAt = -Infinity;

  constructor(private readonly services: StreamOriginTableServices) {}

  /** Writes a stream soon. */
  record(streamId: string): void {
    const now = this.services.clock.now();
    const streams = this.slots.get(this.slot);
    const isFull = !streams || streams.length >= MAX_ROW_STREAMS;
    if (isFull || now - this.slotStartedAt >= SLOT_MS) this.openSlot(now);
    this.slots.get(this.slot)!.push(streamId);
    this.changed.add(this.slot);
    this.scheduleWrite();
  }

  /** Writes all streams that are still in memory again, after the store has lost rows. */
  rewrite(): void {
    this.slots.forEach((_, slot) => this.changed.add(slot));
    if (this.changed.size > 0) this.scheduleWrite();
  }

  /**
   * Reads the streams of all processes, as of a moment after the call.
   * @returns resolves when they are known or the store does not respond
   */
  load(): Promise<void> {
    if (!this.loading) return this.startLoad();
    this.nextLoad ??= this.loading.then(() => {
      this.nextLoad = undefined;
      return this.startLoad();
    });
    return this.nextLoad;
  }

  dispose(): void {
    this.isDisposed = true;
    clearTimeout(this.timer);
  }

  private openSlot(now: number): void {
    this.slot = (this.slot + 1) % SLOTS;
    this.slotStartedAt = now;
    this.slots.set(this.slot, []);
  }

  private scheduleWrite(): void {
    if (this.timer || this.isWriting || this.isDisposed) return;
    const { processCount } = this.services;
    const intervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      WRITE_INTERVAL_PER_PROCESS_MS * processCount(),
    );
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.write().catch((error: unknown) =>
        this.services.logger.error('writing streams failed', { error }),
      );
    }, intervalMs);
  }

  private async write(): Promise<void> {
    const { feed, table, ownId, origins, logger } = this.services;
    this.isWriting = true;
    if (!this.hasLoaded) await this.load();
    if (this.hasLoaded) {
      for (const slot of [...this.changed]) {
        this.changed.delete(slot);
        const row = { streams: origins.groupsOf(this.slots.get(slot) ?? []) };
        const value = Buffer.from(JSON.stringify(row));
        const options = { timeoutMs: WRITE_TIMEOUT_MS };
        const result = await feed.write(table, `${ownId}/${slot}`, value, options);
        if (!result.ok) {
          this.changed.add(slot);
          logger.warn('streams not written', { error: result.error });
          break;
        }
      }
    }
    this.isWriting = false;
    if (this.changed.size > 0) this.scheduleWrite();
  }

  private startLoad(): Promise<void> {
    this.loading = this.read().finally(() => {
      this.loading = undefined;
    });
    return this.loading;
  }

  private async read(): Promise<void> {
    const { clock, feed, table, logger } = this.services;
    const waitMs = this.lastLoadAt + READ_INTERVAL_MS - clock.now();
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    this.lastLoadAt = clock.now();
    const result = await feed.readAll(table, { timeoutMs: READ_TIMEOUT_MS });
    if (!result.ok) {
      logger.warn('streams not read', { error: result.error });
      return;
    }
    this.learn(result.value.rows);
  }

  private learn(rows: readonly FeedRow[]): void {
    const { origins, ownId, logger } = this.services;
    rows.forEach(({ key, value }) => {
      if (!value) return;
      const row = parseRow(value);
      if (row) origins.learn(row.streams);
      else logger.warn('invalid row of streams ignored', { key });
    });
    if (this.hasLoaded) return;
    this.hasLoaded = true;
    this.moveSlots(newestSlot(rows, `${ownId}/`) + 1);
  }

  /** Moves the slots behind those of earlier lives, whose newest rows have to stay. */
  private moveSlots(offset: number): void {
    const moved = [...this.slots].map(
      ([slot, streams]) => [(slot + offset) % SLOTS, streams] as const,
    );
    this.slots.clear();
    moved.forEach(([slot, streams]) => this.slots.set(slot, streams));
    const changed = [...this.changed].map((slot) => (slot + offset) % SLOTS);
    this.changed.clear();
    changed.forEach((slot) => this.changed.add(slot));
    this.slot = (this.slot + offset) % SLOTS;
  }
}

function parseRow(value: Buffer): z.infer<typeof Row> | undefined {
  try {
    return Row.parse(parseJson(value.toString('utf8'), ROW_BOUNDS));
  } catch {
    // The caller logs an invalid row.
    return undefined;
  }
}

/** @returns slot of the row with the prefix that was written last; -1 if there is none */
function newestSlot(rows: readonly FeedRow[], prefix: string): number {
  let newest = -1;
  let newestVersion = -1;
  rows.forEach(({ key, version = 0 }) => {
    const slot = Number(key.slice(prefix.length));
    if (!key.startsWith(prefix) || !Number.isInteger(slot) || version <= newestVersion) return;
    newest = slot;
    newestVersion = version;
  });
  return newest;
}
