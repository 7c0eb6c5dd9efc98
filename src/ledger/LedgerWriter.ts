import { UsageCounters, monthOf, type LedgerPart } from '../common/ledger/UsageCounters.js';
import type { Disposable } from '../common/events/Types.js';
import { LEDGER_TABLE, LedgerRow, ledgerKey, type LedgerEntry } from '../common/protocol/Ledger.js';
import type { Clock } from '../common/time/Types.js';
import type { PlatformResult, Row, TableStore } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { SystemTimers } from '../follower/SystemTimers.js';
import type { Timers } from '../follower/Types.js';

/** Time-out of one write or read of the store. */
const CALL_TIMEOUT_MS = 2000;
/** Tries of one part in one flush; a part that fails is retried by the next flush. */
const MAX_TRIES = 3;
/**
 * Bytes per second that periodic flushes may write. The control traffic of a process must stay
 * below 6 KB/s; rewriting 200 active counters every 10 s would take up to 13 KB/s at the end of a
 * month. Parts beyond the budget wait for the next flush. Agents and entries both record attempts
 * and reports use the greater count, so the other side covers what a crash loses.
 */
const WRITE_BUDGET_BYTES_PER_S = 4500;
/** Minimum budget of one periodic flush, so that short intervals write complete parts as well. */
const MIN_FLUSH_BUDGET_BYTES = 32_768;
const MS_PER_SECOND = 1000;

/** Usage to record. `month` defaults to the current month, `attempts` to 1. */
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
  /** Interval between periodic flushes, in milliseconds. */
  readonly flushIntervalMs: number;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
}

/**
 * Accumulates usage and periodically writes the cumulative counters to the table service. Each row
 * holds the complete state of one part, so a retried write does not count usage twice.
 */
export class LedgerWriter implements Disposable {
  private readonly usageCounters = new UsageCounters();

  /** Last known version of each stored row, by part name. */
  private readonly versions = new Map<string, number>();

  private readonly timers: Timers;

  private flushTimer: Disposable | null = null;

  private flushInProgress: Promise<boolean> | null = null;

  private isDisposed = false;

  constructor(private readonly options: LedgerWriterOptions) {
    this.timers = options.timers ?? new SystemTimers();
    this.scheduleFlush();
  }

  /** Number of usage counters. */
  get size(): number {
    return this.usageCounters.size;
  }

  /**
   * Adds usage to its counter, to be written by a later flush.
   * @param usage - usage with its account, stage and agent
   */
  record(usage: UsageRecord): void {
    const date = new Date(this.options.clock.wallTime()).toISOString();
    const month = usage.month ?? date.slice(0, 'YYYY-MM'.length);
    const attempts = usage.attempts ?? 1;
    const day = date.slice('YYYY-MM-'.length, 'YYYY-MM-DD'.length);
    // Rounded: fractions would double the size of a row, and no report uses them.
    const days = { [day]: [attempts, Math.round(usage.usage.acceleratorMs)] as [number, number] };
    this.usageCounters.add({ ...usage, month, attempts, days });
  }

  /**
   * Writes all changed parts without a byte budget. Called repeatedly on shutdown until it returns
   * true or the time for the shutdown has passed.
   * @returns whether all usage is written
   */
  flush(): Promise<boolean> {
    return this.flushWithin(Infinity);
  }

  private async flushWithin(budgetBytes: number): Promise<boolean> {
    // Usage recorded during a flush in progress needs another flush.
    while (this.flushInProgress) await this.flushInProgress;
    this.flushInProgress = this.writeParts(budgetBytes).finally(() => {
      this.flushInProgress = null;
    });
    return this.flushInProgress;
  }

  /** Stops periodic flushes. Usage that is not yet written is lost, so call {@link flush} first. */
  dispose(): void {
    this.isDisposed = true;
    this.flushTimer?.dispose();
  }

  private scheduleFlush(): void {
    if (this.isDisposed) return;
    const { flushIntervalMs } = this.options;
    const budgetBytes = Math.max(
      MIN_FLUSH_BUDGET_BYTES,
      (WRITE_BUDGET_BYTES_PER_S * flushIntervalMs) / MS_PER_SECOND,
    );
    this.flushTimer = this.timers.after(flushIntervalMs, () => {
      this.flushWithin(budgetBytes)
        .catch((error: unknown) => this.options.logger.error('ledger flush failed', error))
        .finally(() => this.scheduleFlush());
    });
  }

  private async writeParts(budgetBytes: number): Promise<boolean> {
    let bytes = 0;
    for (const part of this.usageCounters.unwritten()) {
      const size = JSON.stringify(part.entries).length;
      // The first part is written even if it exceeds the budget.
      if (bytes > 0 && bytes + size > budgetBytes) break;
      bytes += size;
      const written = await this.writePart(part);
      // The store is down or slow, so the remaining parts are not tried either.
      if (!written) return false;
      this.usageCounters.markWritten(part.name, part.sequence);
    }
    const month = monthOf(this.options.clock.wallTime());
    for (const name of this.usageCounters.deleteBefore(month)) this.versions.delete(name);
    return this.usageCounters.unwritten().length === 0;
  }

  private async writePart(part: LedgerPart): Promise<boolean> {
    const { store, logger } = this.options;
    const address = { table: LEDGER_TABLE, key: this.keyOf(part) };
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
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
      if (current && this.reconcileWithRow(current, part)) return true;
      if (!current) {
        logger.debug('ledger write failed', { part: part.name, reason: result.error.kind });
      }
    }
    return false;
  }

  /** @returns row in the store after a failed write; null if it cannot be read */
  private async currentRow(
    result: PlatformResult<Row[]>,
    address: { table: string; key: string },
  ): Promise<Row | null> {
    if (result.ok) return result.value[0] ?? null;
    if (result.error.kind === 'conflict') return result.error.current;
    const read = await this.options.store.read([address], { timeoutMs: CALL_TIMEOUT_MS });
    return read.ok ? (read.value[0] ?? null) : null;
  }

  /**
   * Records the version of a stored row.
   * @returns whether the row holds the state of the part or a later one
   */
  private reconcileWithRow(row: Row, part: LedgerPart): boolean {
    // A stale read may show an older version, which would only cause another conflict.
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
