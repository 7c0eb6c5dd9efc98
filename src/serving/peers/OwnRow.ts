import { setTimeout as sleep } from 'node:timers/promises';
import type { RowFeed } from '../../storage/RowFeed.js';
import type { Logger } from '../../telemetry/Logger.js';

/** Time-out of a write, in ms. */
const WRITE_TIMEOUT_MS = 1000;
const WRITE_RETRY_DELAY_MS = 500;

/**
 * Longest time before a lost row is written again, in ms. A restore of the store loses the rows of
 * many processes at the same moment.
 */
const REWRITE_SPREAD_MS = 1000;

/** Dependencies of {@link OwnRow}. */
export interface OwnRowServices {
  readonly table: string;
  readonly key: string;
  readonly feed: RowFeed;
  readonly logger: Logger;
  /** Random source for jitter, at least 0 and below 1. */
  readonly random: () => number;
}

/**
 * Row with which this process announces itself. An acknowledged write does not last if the store is
 * restored from an earlier copy, so the row is compared with each read of the table.
 */
export class OwnRow {
  /** Value that the row should have; undefined if there should be no row. */
  private wanted: Buffer | undefined;

  private isWriting = false;

  private isDisposed = false;

  constructor(private readonly services: OwnRowServices) {}

  /** Writes the row, with retries until it succeeds or {@link withdraw} is called. */
  async announce(value: Buffer): Promise<void> {
    this.wanted = value;
    await this.write();
  }

  /** Removes the row. A failed write is not retried. */
  async withdraw(): Promise<void> {
    this.wanted = undefined;
    await this.write();
  }

  /**
   * Compares the row with the one that was read, and writes it again if it was lost or came back.
   * @param stored - value in the store; undefined if there is no row
   */
  compareWith(stored: Buffer | undefined): void {
    if (this.isWriting || this.isDisposed || isEqual(stored, this.wanted)) return;
    const { key, logger, random } = this.services;
    logger.warn('member row differs from the store; writing it again', { member: key });
    this.isWriting = true;
    sleep(random() * REWRITE_SPREAD_MS)
      .then(() => this.write())
      .catch((error: unknown) => logger.error('writing the member row failed', { error }));
  }

  /** Stops the retries. */
  dispose(): void {
    this.isDisposed = true;
  }

  private async write(): Promise<void> {
    const { table, key, feed, logger } = this.services;
    const value = this.wanted;
    this.isWriting = true;
    while (!this.isDisposed && isEqual(value, this.wanted)) {
      const result = await feed.write(table, key, value, { timeoutMs: WRITE_TIMEOUT_MS });
      if (result.ok) break;
      logger.warn('member row not written', { error: result.error });
      if (!value) break;
      await sleep(WRITE_RETRY_DELAY_MS);
    }
    this.isWriting = false;
  }
}

function isEqual(left: Buffer | undefined, right: Buffer | undefined): boolean {
  return left && right ? left.equals(right) : left === right;
}
