import { LedgerBook, monthOf, type LedgerPart } from '../common/ledger/LedgerBook.js';
import type { Disposable } from '../common/events/Types.js';
import { LEDGER_TABLE, LedgerRow, ledgerKey, type LedgerEntry } from '../common/protocol/Ledger.js';
import type { Clock } from '../common/time/Types.js';
import type { PlatformResult, Row, TableStore } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { SystemTimers } from '../follower/SystemTimers.js';
import type { Timers } from '../follower/Types.js';

/** Time-out of one write or read of the store, in milliseconds. */
const CALL_TIMEOUT_MS = 2000;
/** Tries of one part in one flush; a part that fails is tried again by the next flush. */
const TRIES = 3;
/**
 * Bytes a second that the interval may write. All control traffic of a daemon is to stay below
 * 6 KB/s; rewriting 200 active counters every 10 s would take up to 13 KB/s at the end of a month.
 * Parts that do not fit wait for the next interval; the other side of the ledger covers a crash.
 */
const BYTES_PER_S = 4500;
/** Least budget of one interval, so that short ones write whole parts too. */
const LEAST_BYTES_PER_FLUSH = 32_768;
const MS_PER_SECOND = 1000;

/** Usage to record. Without `month` the current one is taken; without `attempts` it counts as one. */
export type UsageRecord = Omit<LedgerEntry, 'month' | 'attempts' | 'days'> &
  Partial<Pick<LedgerEntry, 'month' | 'attempts'>>;

/** Options of {@link LedgerWriter}. */
export interface LedgerWriterOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly writer: LedgerRow['writer'];
  /** Id of the writing process. */
  readonly writerId: string;
  /** Incarnation of the writing process. */
  readonly incarnation: string;
  readonly flushIntervalMs: number;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
}

/** Keeps cumulative usage and writes it to the table service at intervals, as whole rows. */
export class LedgerWriter implements Disposable {
  private readonly book = new LedgerBook();

  /** Version of each row in the store, as last known. */
  private readonly versions = new Map<string, number>();

  private readonly timers: Timers;

  private timer: Disposable | null = null;

  private flushing: Promise<boolean> | null = null;

  private disposed = false;

  constructor(private readonly options: LedgerWriterOptions) {
    this.timers = options.timers ?? new SystemTimers();
    this.schedule();
  }

  /** Number of counters held. */
  get size(): number {
    return this.book.size;
  }

  /**
   * Adds usage. It is written by the next flush.
   * @param usage - what was used, by whom and where
   */
  record(usage: UsageRecord): void {
    const date = new Date(this.options.clock.wallTime()).toISOString();
    const month = usage.month ?? date.slice(0, 'YYYY-MM'.length);
    const attempts = usage.attempts ?? 1;
    const day = date.slice('YYYY-MM-'.length, 'YYYY-MM-DD'.length);
    // Rounded, because fractions would double the size of a row and no report needs them.
    const days = { [day]: [attempts, Math.round(usage.usage.acceleratorMs)] as [number, number] };
    this.book.add({ ...usage, month, attempts, days });
  }

  /**
   * Writes all parts that changed, whatever their size. A shutdown calls it until it gives true or
   * time is up.
   * @returns true if nothing is left to be written
   */
  flush(): Promise<boolean> {
    return this.flushWithin(Infinity);
  }

  private async flushWithin(budgetBytes: number): Promise<boolean> {
    // Usage recorded during a flush under way needs another one.
    while (this.flushing) await this.flushing;
    this.flushing = this.writeParts(budgetBytes).finally(() => {
      this.flushing = null;
    });
    return this.flushing;
  }

  /** Stops the interval; what is not written is lost unless {@link flush} was called before. */
  dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
  }

  private schedule(): void {
    if (this.disposed) return;
    const { flushIntervalMs } = this.options;
    const budgetBytes = Math.max(
      LEAST_BYTES_PER_FLUSH,
      (BYTES_PER_S * flushIntervalMs) / MS_PER_SECOND,
    );
    this.timer = this.timers.after(flushIntervalMs, () => {
      this.flushWithin(budgetBytes)
        .catch((error: unknown) => this.options.logger.error('ledger flush failed', error))
        .finally(() => this.schedule());
    });
  }

  private async writeParts(budgetBytes: number): Promise<boolean> {
    let bytes = 0;
    for (const part of this.book.unwritten()) {
      const size = JSON.stringify(part.entries).length;
      // The first part is written whatever its size.
      if (bytes > 0 && bytes + size > budgetBytes) break;
      bytes += size;
      const written = await this.writePart(part);
      // The store is down or slow: the other parts wait as well.
      if (!written) return false;
      this.book.markWritten(part.name, part.sequence);
    }
    const month = monthOf(this.options.clock.wallTime());
    for (const name of this.book.forgetBefore(month)) this.versions.delete(name);
    return this.book.unwritten().length === 0;
  }

  private async writePart(part: LedgerPart): Promise<boolean> {
    const { store, logger } = this.options;
    const address = { table: LEDGER_TABLE, key: this.keyOf(part) };
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      const version = this.versions.get(part.name) ?? 0;
      const result = await store.transaction(
        {
          checks: [{ ...address, version }],
          writes: [{ ...address, value: this.rowOf(part) }],
        },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (result.ok) {
        this.versions.set(part.name, result.value[0]!.version);
        return true;
      }
      const current = await this.currentRow(result, address);
      if (current && this.isWritten(current, part)) return true;
      if (!current) {
        logger.debug('ledger write failed', { part: part.name, reason: result.error.kind });
      }
    }
    return false;
  }

  /** Row in the store after a write that gave an error; null if it cannot be read. */
  private async currentRow(
    result: PlatformResult<Row[]>,
    address: { table: string; key: string },
  ): Promise<Row | null> {
    if (result.ok) return result.value[0] ?? null;
    if (result.error.kind === 'conflict') return result.error.current;
    const read = await this.options.store.read([address], { timeoutMs: CALL_TIMEOUT_MS });
    return read.ok ? (read.value[0] ?? null) : null;
  }

  /** Takes over the row's version, and tells whether the row holds the part or a later state of it. */
  private isWritten(row: Row, part: LedgerPart): boolean {
    // A stale read shows an older version; going back would only cost another conflict.
    const known = this.versions.get(part.name) ?? 0;
    this.versions.set(part.name, Math.max(known, row.version));
    const value = LedgerRow.safeParse(row.value);
    return value.success && value.data.sequence >= part.sequence;
  }

  private keyOf(part: LedgerPart): string {
    return `${ledgerKey(this.options)}/${part.name}`;
  }

  private rowOf(part: LedgerPart): LedgerRow {
    const { writer, writerId, incarnation } = this.options;
    const { sequence, entries } = part;
    return { writer, writerId, incarnation, sequence, entries: [...entries] };
  }
}
