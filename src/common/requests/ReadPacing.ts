import type { Clock } from '../time/Types.js';

/** Share of the time that reads of small chunks may take beside other requests, and without any. */
const BUSY_SHARE = 0.2;
const IDLE_SHARE = 0.6;

/**
 * Longest pause after one read, in ms. A read that took long because the process stood still must not
 * keep the others from being read.
 */
const MAX_PAUSE_MS = 500;

/**
 * Decides which connection with small chunks is read next, and when.
 *
 * Answers clients that send bodies in chunks of a few bytes: each read of 64 KiB then takes thousands
 * of calls. One such connection is read at a time, in turn, and the reads of all of them together take
 * a bounded share of the time.
 *
 * @typeParam T - connection
 */
export class ReadPacing<T> {
  /** Connections that have not been read yet; they may belong to ordinary callers. */
  private readonly unread = new Set<T>();

  private readonly waiting = new Set<T>();

  private nextReadAt = -Infinity;

  /**
   * @param clock - time source
   * @param isBusy - returns whether there are other requests
   */
  constructor(
    private readonly clock: Clock,
    private readonly isBusy: () => boolean,
  ) {}

  /** Number of connections that wait to be read. */
  get waitingCount(): number {
    return this.unread.size + this.waiting.size;
  }

  /** Time until the next connection may be read, in ms; 0 if one may be read now. */
  get waitMs(): number {
    return Math.max(0, this.nextReadAt - this.clock.now());
  }

  /**
   * @param connection - connection that waits to be read
   * @param isUnread - whether it is new
   */
  add(connection: T, isUnread: boolean): void {
    (isUnread ? this.unread : this.waiting).add(connection);
  }

  remove(connection: T): void {
    this.unread.delete(connection);
    this.waiting.delete(connection);
  }

  /** @returns connection to read now, which no longer waits; undefined if none may be read */
  next(): T | undefined {
    if (this.waitMs > 0) return undefined;
    const [connection] = this.unread.size > 0 ? this.unread : this.waiting;
    if (connection !== undefined) this.remove(connection);
    return connection;
  }

  /** @param durationMs - time that a read of small chunks has taken, in ms */
  recordRead(durationMs: number): void {
    const share = this.isBusy() ? BUSY_SHARE : IDLE_SHARE;
    const pauseMs = Math.min(MAX_PAUSE_MS, durationMs * (1 / share - 1));
    this.nextReadAt = Math.max(this.nextReadAt, this.clock.now()) + pauseMs;
  }
}
