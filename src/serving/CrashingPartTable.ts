import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { parseJson } from '../common/json/BoundedJson.js';
import type { CrashingParts } from '../common/serving/CrashingParts.js';
import type { Clock } from '../common/time/Types.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';

/** Time-out of a write, in ms. */
const WRITE_TIMEOUT_MS = 1000;
const WRITE_RETRY_DELAY_MS = 500;

/**
 * Longest time before a row is written, in ms. All processes find a part at about the same time;
 * the row that the first one writes reaches the others before their turn.
 */
const WRITE_SPREAD_MS = 1000;

/** Bounds of a row; those of other writers may have any form. */
const ROW_BOUNDS = { maxValues: 10_000 };

/** Row of a prompt part that crashes servers, with the evidence against it. */
const StoredPart = z.object({
  suspects: z.array(z.string()),
  crashes: z.array(
    z.object({
      server: z.string(),
      /** Unix time, in ms. */
      at: z.number(),
      parts: z.array(z.string()),
    }),
  ),
  /** Unix time of the last complete response to any request, in ms; older versions write none. */
  lastCompletionAt: z.number().optional(),
});
type StoredPart = z.infer<typeof StoredPart>;

/** Dependencies of {@link CrashingPartTable}. */
export interface CrashingPartTableServices {
  readonly table: string;
  readonly feed: RowFeed;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: () => number;
  readonly crashingParts: CrashingParts;
}

/**
 * Keeps the prompt parts that crash servers in the store, so that they are known after a restart of
 * all processes. An operator clears a part by removing its row.
 */
export class CrashingPartTable {
  /** Stored suspects, joined, by part id. */
  private readonly stored = new Map<string, string>();

  /** Ids of the parts whose rows are about to be written or removed. */
  private readonly pending = new Set<string>();

  private isDisposed = false;

  constructor(private readonly services: CrashingPartTableServices) {
    const { crashingParts, logger } = services;
    crashingParts.onFound(({ part, suspects, crashes }) => {
      logger.warn('prompt part crashes servers', { part, suspects, crashes });
      this.scheduleUpdate(part);
    });
    crashingParts.onCleared(({ part }) => {
      logger.info('prompt part cleared', { part });
      this.scheduleUpdate(part);
    });
  }

  /** Replaces all rows. */
  replaceAll(rows: readonly FeedRow[]): void {
    const previous = [...this.stored.keys()];
    this.stored.clear();
    this.readRows(rows);
    [...previous, ...this.stored.keys()].forEach((part) => this.scheduleUpdate(part));
  }

  /** Applies changed rows; one without a value was removed. */
  apply(rows: readonly FeedRow[]): void {
    const removed = rows.filter(({ key, value }) => !value && this.stored.delete(key));
    // Without this, the evidence that this process has would restore the row.
    if (removed.length > 0) {
      this.services.crashingParts.recordCompletion(removed.map(({ key }) => key));
    }
    this.readRows(rows);
  }

  /** Stops pending writes. */
  dispose(): void {
    this.isDisposed = true;
  }

  private readRows(rows: readonly FeedRow[]): void {
    const { crashingParts, clock, logger } = this.services;
    const now = clock.wallTime();
    rows.forEach(({ key, value }) => {
      if (!value) return;
      const row = parseRow(value);
      if (!row) {
        logger.warn('invalid row of a crashing prompt part ignored', { part: key });
        return;
      }
      this.stored.set(key, row.suspects.join());
      // The clocks of processes differ.
      const ageMs = (at: number) => Math.max(0, now - at);
      const crashes = row.crashes.map(({ server, at, parts }) => ({
        server,
        parts,
        ageMs: ageMs(at),
      }));
      const { lastCompletionAt } = row;
      crashingParts.merge({
        crashes,
        completed: {},
        ...(lastCompletionAt !== undefined && { lastCompletionAgeMs: ageMs(lastCompletionAt) }),
      });
    });
  }

  private scheduleUpdate(part: string): void {
    if (this.pending.has(part) || this.isCurrent(part)) return;
    this.pending.add(part);
    this.update(part)
      .catch((error: unknown) =>
        this.services.logger.error('storing a crashing prompt part failed', { part, error }),
      )
      .finally(() => this.pending.delete(part));
  }

  private async update(part: string): Promise<void> {
    const { table, feed, random, logger } = this.services;
    await sleep(random() * WRITE_SPREAD_MS);
    while (!this.isDisposed && !this.isCurrent(part)) {
      const row = this.createRow(part);
      const value = row && Buffer.from(JSON.stringify(row));
      const result = await feed.write(table, part, value, { timeoutMs: WRITE_TIMEOUT_MS });
      if (result.ok) {
        if (row) this.stored.set(part, row.suspects.join());
        else this.stored.delete(part);
      } else {
        logger.warn('row of a crashing prompt part not written', { part, error: result.error });
        await sleep(WRITE_RETRY_DELAY_MS);
      }
    }
  }

  private isCurrent(part: string): boolean {
    const found = this.services.crashingParts.parts.get(part);
    return this.stored.get(part) === found?.suspects.join();
  }

  private createRow(part: string): StoredPart | undefined {
    const { crashingParts, clock } = this.services;
    const found = crashingParts.parts.get(part);
    if (!found) return undefined;
    const now = clock.wallTime();
    const { crashes, lastCompletionAgeMs } = crashingParts.evidenceAgainst(part);
    return {
      suspects: [...found.suspects],
      crashes: crashes.map(({ server, ageMs, parts }) => ({ server, at: now - ageMs, parts })),
      ...(lastCompletionAgeMs !== undefined && { lastCompletionAt: now - lastCompletionAgeMs }),
    };
  }
}

function parseRow(value: Buffer): StoredPart | undefined {
  try {
    return StoredPart.parse(parseJson(value.toString('utf8'), ROW_BOUNDS));
  } catch {
    // The caller reports an invalid row.
    return undefined;
  }
}
