import { z } from 'zod';
import { parseJson } from '../common/json/BoundedJson.js';
import { StreamGroup, type StreamOrigins } from '../common/serving/StreamOrigins.js';
import { StreamRecords } from '../common/serving/StreamRecords.js';
import type { Clock } from '../common/time/Types.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';

/** Time in which streams are collected before a write, in ms: those of a group begin together. */
const WRITE_DELAY_MS = 60;

/** Interval at which the writes of a process are restored, in ms, and number that are saved up. */
const WRITE_INTERVAL_MS = 2000;
const MAX_SAVED_WRITES = 4;

/** Interval at which a process with unwritten streams checks whether it has to write, in ms. */
const CHECK_INTERVAL_MS = 1000;

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
  /** @returns longest time from the begin of a stream until it is taken up, in ms */
  readonly lifetimeMs: () => number;
  /** @returns whether this process stores the streams of all */
  readonly isRecorder: () => boolean;
}

/**
 * Keeps in the store where streams began, so that it is known after all processes lost power, and to
 * one that has started since. A few processes write the streams of all, and those that begin at about
 * the same time share a write.
 */
export class StreamOriginTable {
  private readonly records: StreamRecords;

  private timer: NodeJS.Timeout | undefined;

  private savedWrites = MAX_SAVED_WRITES;

  private savedWritesAt: number;

  private isWriting = false;

  private isDisposed = false;

  /** Whether the rows of earlier lives of this process were read, which must stay for a while. */
  private hasLoaded = false;

  private loading: Promise<void> | undefined;

  /** A read that starts when the one in progress has ended. */
  private nextLoad: Promise<void> | undefined;

  private lastLoadAt = -Infinity;

  constructor(private readonly services: StreamOriginTableServices) {
    const { clock, origins, lifetimeMs } = services;
    this.records = new StreamRecords(clock, origins, lifetimeMs);
    this.savedWritesAt = clock.now();
    origins.onHeard((id) => {
      this.records.add(id);
      this.scheduleWrite(WRITE_DELAY_MS);
    });
  }

  /** Writes all streams that can still be taken up again, after the store has lost rows. */
  rewrite(): void {
    this.records.markAllDue();
    if (this.records.isDue) this.scheduleWrite(WRITE_DELAY_MS);
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

  private scheduleWrite(delayMs: number): void {
    if (this.timer || this.isWriting || this.isDisposed) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.writeIfChosen().catch((error: unknown) =>
        this.services.logger.error('writing streams failed', { error }),
      );
    }, delayMs);
  }

  private async writeIfChosen(): Promise<void> {
    const mayWrite = this.services.isRecorder() && this.trySpendWrite();
    if (mayWrite) {
      this.isWriting = true;
      await this.write();
      this.isWriting = false;
    }
    if (this.records.isDue) this.scheduleWrite(CHECK_INTERVAL_MS);
  }

  private trySpendWrite(): boolean {
    const now = this.services.clock.now();
    const restored = (now - this.savedWritesAt) / WRITE_INTERVAL_MS;
    this.savedWrites = Math.min(MAX_SAVED_WRITES, this.savedWrites + restored);
    this.savedWritesAt = now;
    if (this.savedWrites < 1) return false;
    this.savedWrites -= 1;
    return true;
  }

  private async write(): Promise<void> {
    const { feed, table, ownId, logger } = this.services;
    if (!this.hasLoaded) await this.load();
    if (!this.hasLoaded) return;
    for (let row = this.records.takeDue(); row; row = this.records.takeDue()) {
      const value = Buffer.from(JSON.stringify({ streams: row.streams }));
      const options = { timeoutMs: WRITE_TIMEOUT_MS };
      const result = await feed.write(table, `${ownId}/${row.slot}`, value, options);
      if (!result.ok) {
        this.records.recordFailure(row);
        logger.warn('streams not written', { error: result.error });
        return;
      }
      if (this.isDisposed) return;
    }
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
    this.restore(result.value.rows);
  }

  private restore(rows: readonly FeedRow[]): void {
    const { origins, ownId, logger } = this.services;
    rows.forEach(({ key, value }) => {
      if (!value) return;
      const row = parseRow(value);
      if (row) origins.restore(row.streams);
      else logger.warn('invalid row of streams ignored', { key });
    });
    if (this.hasLoaded) return;
    this.hasLoaded = true;
    this.records.reserve(slotsOf(rows, `${ownId}/`));
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

/** @returns slots of the rows whose keys begin with the prefix */
function slotsOf(rows: readonly FeedRow[], prefix: string): number[] {
  return rows
    .filter(({ key }) => key.startsWith(prefix))
    .map(({ key }) => Number(key.slice(prefix.length)))
    .filter((slot) => Number.isInteger(slot) && slot >= 0);
}
