import { setTimeout as sleep } from 'node:timers/promises';
import type { Disposable } from '../common/events/Types.js';
import { pollWaitMs, type FleetPosition } from '../common/serving/PollSchedule.js';
import type { StorePosition } from '../common/serving/StorePosition.js';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { PlatformError } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { StoreEra } from './StoreEra.js';

/**
 * Time without a response of the store, or without a further part of it, in ms. The store responds in
 * a few ms, but a large table takes longer than that over a narrow link.
 */
const READ_TIMEOUT_MS = 1000;

/** Back-off after failed calls, in ms. It grows because the store limits the number of calls. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 800;

/**
 * Wait after a change per process that follows the table, in ms. A change completes the pending
 * reads of all processes, and a process that reads it early notifies the others.
 */
const READ_GAP_PER_PROCESS_MS = 50;

/** Receives the rows of a table and the state of the store. */
export interface TableListener {
  /**
   * Called with all rows of the table.
   * @param isRestored - whether the store was restored since the previous call: rows that were known
   *   may be older or missing until their writers write them again
   */
  replaceAll(rows: readonly FeedRow[], position: StorePosition, isRestored: boolean): void;
  /** Called with changed rows; may be called without rows when only the version has changed. */
  apply(rows: readonly FeedRow[], position: StorePosition): void;
  /** Called after each successful call of the store. */
  onStoreReachable(): void;
  /** Called after each failed call of the store. */
  onStoreUnreachable(): void;
}

/** Options of {@link TableFollower}. */
export interface TableFollowerOptions {
  readonly feed: RowFeed;
  readonly table: string;
  /**
   * Time between two reads of the fleet while nothing changes, in ms. Within it, one of the processes
   * notices that connections to the store are silently lost.
   */
  readonly pollSpacingMs: number;
  /** Longest pause after a change before the next read, in ms. */
  readonly maxReadGapMs: number;
  /** @returns longest time that the next read may wait for a change, in ms; default: no limit */
  readonly maxWaitMs?: () => number;
  readonly listener: TableListener;
  readonly logger: Logger;
  readonly storeEra: StoreEra;
  /** @returns position among the processes that follow the table and notify each other of changes */
  readonly fleet: () => FleetPosition;
  /** Random source for jitter, at least 0 and below 1. */
  readonly random: () => number;
}

/** Reads a table of the store and then follows its changes by long polling. */
export class TableFollower {
  /** Position up to which the table is known; undefined before it was read. */
  private position: StorePosition | undefined;

  /** Latest position that was read, also while the whole table is read again. */
  private known: StorePosition | undefined;

  /** Newest era that was heard of when a read began. */
  private checkedEra = 0;

  private failures = 0;

  /** Whether the previous read ended at about the same moment as those of the other processes. */
  private isFirstPoll = true;

  private isStopped = false;

  /** Aborts the read that waits for changes. */
  private waitingRead = new AbortController();

  private readonly eraSubscription: Disposable;

  constructor(private readonly options: TableFollowerOptions) {
    this.eraSubscription = options.storeEra.onRaised((era) => {
      if (this.position !== undefined && this.position.era < era) this.waitingRead.abort();
    });
  }

  /** Follows the table until {@link dispose} is called. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const error = this.position === undefined ? await this.readAll() : await this.readChanges();
      if (error) await this.backOff(error);
      else this.recordSuccess();
    }
  }

  dispose(): void {
    this.isStopped = true;
    this.eraSubscription.dispose();
  }

  private async readAll(): Promise<PlatformError | undefined> {
    const { feed, table, listener, storeEra } = this.options;
    const result = await feed.readAll(table, {
      timeoutMs: READ_TIMEOUT_MS,
      stallTimeoutMs: READ_TIMEOUT_MS,
    });
    if (!result.ok) return result.error;
    listener.onStoreReachable();
    const { rows, position } = result.value;
    const isRestored = this.isRestored(position);
    this.known = position;
    this.position = position;
    this.isFirstPoll = true;
    listener.replaceAll(rows, position, isRestored);
    storeEra.observe(position.era);
    return undefined;
  }

  private async readChanges(): Promise<PlatformError | undefined> {
    const { feed, table, listener, logger, storeEra } = this.options;
    const known = this.position!;
    // The store may have been restored while it was away or between two reads, which only a
    // response shows.
    const isEraUnchecked = storeEra.current > Math.max(known.era, this.checkedEra);
    this.checkedEra = storeEra.current;
    const waitMs = this.failures > 0 || isEraUnchecked ? 0 : this.pollWaitMs();
    const timeoutMs = waitMs + READ_TIMEOUT_MS;
    this.waitingRead = new AbortController();
    const { signal } = this.waitingRead;
    const result = await feed.changes(table, known, {
      waitMs,
      timeoutMs,
      stallTimeoutMs: READ_TIMEOUT_MS,
      signal,
    });
    if (signal.aborted) {
      this.position = undefined;
      return undefined;
    }
    if (!result.ok) return result.error;
    listener.onStoreReachable();
    if (result.value.kind === 'history-lost') {
      logger.warn('change history of the table was dropped; reading the whole table', { table });
      this.position = undefined;
      return undefined;
    }
    const { rows, position } = result.value.page;
    if (this.isRestored(position)) {
      // The versions after the copy are given out again, so the changes may have gaps.
      this.position = undefined;
      storeEra.observe(position.era);
      return undefined;
    }
    this.known = position;
    this.position = position;
    listener.apply(rows, position);
    this.isFirstPoll = rows.length > 0 || waitMs === 0;
    if (rows.length > 0) await sleep(this.readGapMs());
    return undefined;
  }

  /** @returns whether the store was restored between the known position and this one */
  private isRestored(position: StorePosition): boolean {
    const { known } = this;
    if (known === undefined) return false;
    const isRestored = position.era !== known.era || position.version < known.version;
    if (isRestored) {
      this.options.logger.warn('store was restored', {
        table: this.options.table,
        position,
        known,
      });
    }
    return isRestored;
  }

  /** @returns time that the store may wait for a change, in ms */
  private pollWaitMs(): number {
    const { pollSpacingMs, maxWaitMs, fleet } = this.options;
    const waitMs = pollWaitMs(pollSpacingMs, fleet(), this.isFirstPoll);
    return Math.min(waitMs, maxWaitMs?.() ?? Infinity);
  }

  /** @returns wait before the next read, in ms, with jitter, so that processes take turns */
  private readGapMs(): number {
    const { fleet, random, maxReadGapMs } = this.options;
    return longestReadGapMs(fleet().count, maxReadGapMs) * (0.5 + random() / 2);
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.options.logger.info('store regained', {
        table: this.options.table,
        failures: this.failures,
      });
    }
    this.failures = 0;
  }

  private async backOff(error: PlatformError): Promise<void> {
    const { logger, table, listener, random } = this.options;
    if (this.failures === 0) logger.warn('store lost', { table, error });
    listener.onStoreUnreachable();
    this.failures += 1;
    const maxDelayMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (this.failures - 1));
    await sleep(maxDelayMs * (0.5 + random() / 2));
  }
}

/**
 * @param processCount - number of processes that follow the table
 * @param maxReadGapMs - upper limit, in ms
 * @returns longest pause after a change before the next read, in ms
 */
export function longestReadGapMs(processCount: number, maxReadGapMs: number): number {
  return Math.min(maxReadGapMs, READ_GAP_PER_PROCESS_MS * processCount);
}
