import { setTimeout as sleep } from 'node:timers/promises';
import type { Event } from '../common/events/Types.js';
import { parseJson } from '../common/json/BoundedJson.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';

/** Time-out of a write, in ms. */
const WRITE_TIMEOUT_MS = 1000;
const WRITE_RETRY_DELAY_MS = 500;

/**
 * Longest time before a row is written, in ms. All processes find a cause at about the same time;
 * the row that the first one writes reaches the others before their turn.
 */
const WRITE_SPREAD_MS = 1000;

/** Bounds of a row; those of other writers may have any form. */
const ROW_BOUNDS = { maxValues: 10_000 };

/** Causes of crashes of one kind, and their rows. */
export interface StoredCauses {
  /** Name of a cause, for the log. */
  readonly noun: string;
  /** Beginning of the keys of its rows; the id of the cause follows. */
  readonly keyPrefix: string;
  /** Fired with the id of a cause that was found or has changed. */
  readonly onFound: Event<string>;
  /** Fired with the id of a cause that no longer counts. */
  readonly onCleared: Event<string>;
  /** @returns text that changes with the row of a cause; undefined if it does not count */
  signatureOf(cause: string): string | undefined;
  /** @returns content of the row of a cause that counts */
  createRow(cause: string): unknown;
  /**
   * Adds the evidence of a row.
   * @returns its signature; undefined if the row is invalid
   */
  readRow(content: unknown): string | undefined;
  /** Discards the evidence against a cause whose row an operator has removed. */
  clear(cause: string): void;
}

/** Dependencies of {@link CrashCauseTable}. */
export interface CrashCauseTableServices {
  readonly table: string;
  readonly feed: RowFeed;
  readonly logger: Logger;
  readonly random: () => number;
  /** Kinds of causes; a row belongs to the first one whose prefix its key has. */
  readonly kinds: readonly StoredCauses[];
}

/**
 * Keeps the causes of crashes in the store, so that they are known after a restart of all processes.
 * An operator clears a cause by removing its row.
 */
export class CrashCauseTable {
  /** Signatures of the stored causes, by key. */
  private readonly stored = new Map<string, string>();

  /** Keys of the rows that are about to be written or removed. */
  private readonly pending = new Set<string>();

  private isDisposed = false;

  constructor(private readonly services: CrashCauseTableServices) {
    services.kinds.forEach(({ keyPrefix, onFound, onCleared }) => {
      onFound((cause) => this.scheduleUpdate(keyPrefix + cause));
      onCleared((cause) => this.scheduleUpdate(keyPrefix + cause));
    });
  }

  /** Replaces all rows. */
  replaceAll(rows: readonly FeedRow[]): void {
    const previous = [...this.stored.keys()];
    this.stored.clear();
    this.readRows(rows);
    [...previous, ...this.stored.keys()].forEach((key) => this.scheduleUpdate(key));
  }

  /** Applies changed rows; one without a value was removed. */
  apply(rows: readonly FeedRow[]): void {
    const removed = rows.filter(({ key, value }) => !value && this.stored.delete(key));
    // Without this, the evidence that this process has would restore the row.
    removed.forEach(({ key }) => this.kindOf(key).clear(this.causeIn(key)));
    this.readRows(rows);
  }

  /** Stops pending writes. */
  dispose(): void {
    this.isDisposed = true;
  }

  private readRows(rows: readonly FeedRow[]): void {
    rows.forEach(({ key, value }) => {
      if (!value) return;
      const { noun, readRow } = this.kindOf(key);
      const signature = readRow(parseContent(value));
      if (signature !== undefined) this.stored.set(key, signature);
      else this.services.logger.warn(`invalid row of a crashing ${noun} ignored`, { key });
    });
  }

  private scheduleUpdate(key: string): void {
    if (this.pending.has(key) || this.isCurrent(key)) return;
    this.pending.add(key);
    this.update(key)
      .catch((error: unknown) =>
        this.services.logger.error('storing a cause of crashes failed', { key, error }),
      )
      .finally(() => this.pending.delete(key));
  }

  private async update(key: string): Promise<void> {
    const { table, feed, random, logger } = this.services;
    await sleep(random() * WRITE_SPREAD_MS);
    while (!this.isDisposed && !this.isCurrent(key)) {
      const signature = this.signatureOf(key);
      const row =
        signature === undefined ? undefined : this.kindOf(key).createRow(this.causeIn(key));
      const value = row === undefined ? undefined : Buffer.from(JSON.stringify(row));
      const result = await feed.write(table, key, value, { timeoutMs: WRITE_TIMEOUT_MS });
      if (!result.ok) {
        logger.warn('row of a cause of crashes not written', { key, error: result.error });
        await sleep(WRITE_RETRY_DELAY_MS);
      } else if (signature === undefined) this.stored.delete(key);
      else this.stored.set(key, signature);
    }
  }

  private isCurrent(key: string): boolean {
    return this.stored.get(key) === this.signatureOf(key);
  }

  private signatureOf(key: string): string | undefined {
    return this.kindOf(key).signatureOf(this.causeIn(key));
  }

  private kindOf(key: string): StoredCauses {
    return this.services.kinds.find(({ keyPrefix }) => key.startsWith(keyPrefix))!;
  }

  private causeIn(key: string): string {
    return key.slice(this.kindOf(key).keyPrefix.length);
  }
}

function parseContent(value: Buffer): unknown {
  try {
    return parseJson(value.toString('utf8'), ROW_BOUNDS);
  } catch {
    // The schema check that follows rejects it.
    return undefined;
  }
}
