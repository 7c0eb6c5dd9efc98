import { setTimeout as sleep } from 'node:timers/promises';
import type { FeedRow, RowFeed } from '../storage/RowFeed.js';
import type { PlatformError } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';

/** Time that a read of the store may take, in ms. The store answers in a few. */
const READ_TIMEOUT_MS = 1000;

/** Shortest wait for a change, as a share of the longest. */
const MIN_WAIT_SHARE = 0.6;

/** Pauses after failed calls, in ms. Calls are counted and limited, so they grow. */
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 800;

/**
 * After a change a process waits this long for each process before it reads again, in ms: every
 * change wakes the feeds of all processes, and one that reads it early tells the others.
 */
const GAP_PER_PROCESS_MS = 50;

/** Longest wait after a change, in ms; a third of the time in which changes have to be in force. */
const MAX_GAP_MS = 1000;

/** Takes what a follower learns. */
export interface TableListener {
  /** Takes all rows of the table. */
  replaceAll(rows: readonly FeedRow[], version: number): void;
  /** Takes rows that changed. */
  apply(rows: readonly FeedRow[], version: number): void;
  onReachable(): void;
  onLost(): void;
}

/** Options of {@link TableFollower}. */
export interface FollowerOptions {
  readonly feed: RowFeed;
  readonly table: string;
  /**
   * Time that the store waits for a change, in ms. A connection that went silent shows only after
   * it, so it bounds how late a change can be.
   */
  readonly waitMs: number;
  readonly listener: TableListener;
  readonly logger: Logger;
  /** Number of processes that follow the table and tell each other of changes. */
  readonly processes: () => number;
  /** Spreads repeated calls, at least 0 and below 1. */
  readonly random: () => number;
}

/** Follows a table of the store through its feed, from its current state on. */
export class TableFollower {
  private version: number | undefined;

  private failures = 0;

  private isStopped = false;

  constructor(private readonly options: FollowerOptions) {}

  /** Follows until {@link dispose}. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const error = this.version === undefined ? await this.readAll() : await this.readChanges();
      if (error) await this.pause(error);
      else this.noteSuccess();
    }
  }

  dispose(): void {
    this.isStopped = true;
  }

  private async readAll(): Promise<PlatformError | undefined> {
    const { feed, table, listener } = this.options;
    const result = await feed.readAll(table, { timeoutMs: READ_TIMEOUT_MS });
    if (!result.ok) return result.error;
    listener.onReachable();
    this.version = result.value.version;
    listener.replaceAll(result.value.rows, this.version);
    return undefined;
  }

  private async readChanges(): Promise<PlatformError | undefined> {
    const { feed, table, waitMs, listener, logger, random } = this.options;
    // Processes whose waits end at different times tell each other of changes in between.
    const ownWaitMs = Math.round(waitMs * (MIN_WAIT_SHARE + random() * (1 - MIN_WAIT_SHARE)));
    const timeoutMs = ownWaitMs + READ_TIMEOUT_MS;
    const result = await feed.changes(table, this.version!, { waitMs: ownWaitMs, timeoutMs });
    if (!result.ok) return result.error;
    listener.onReachable();
    if (result.value.kind === 'history-lost') {
      logger.warn('history of the store was dropped, reading the table anew', { table });
      this.version = undefined;
      return undefined;
    }
    const { rows, version } = result.value.page;
    this.version = Math.max(this.version!, version);
    listener.apply(rows, this.version);
    if (rows.length > 0) await sleep(this.gapMs());
    return undefined;
  }

  /** @returns wait before the next read; differs a little, so that processes read by turns */
  private gapMs(): number {
    const { processes, random } = this.options;
    return Math.min(MAX_GAP_MS, GAP_PER_PROCESS_MS * processes()) * (0.5 + random() / 2);
  }

  private noteSuccess(): void {
    if (this.failures > 0) {
      this.options.logger.info('store regained', {
        table: this.options.table,
        failures: this.failures,
      });
    }
    this.failures = 0;
  }

  private async pause(error: PlatformError): Promise<void> {
    const { logger, table, listener, random } = this.options;
    if (this.failures === 0) logger.warn('store lost', { table, error });
    listener.onLost();
    this.failures += 1;
    const longest = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.failures - 1));
    await sleep(longest * (0.5 + random() / 2));
  }
}
