import type { Socket } from 'node:net';
import type { Client } from 'undici';

/** One connection to a backend server, used by one request at a time. */
export class PooledConnection {
  isBusy = false;

  /** Whether the socket has failed. If so, a body that ends with the connection is truncated. */
  hasFailed = false;

  /** Undefined until the connection is established. */
  socket: Socket | undefined;

  /**
   * @param client - HTTP client that holds the connection
   * @param idleSince - time at which it was opened or its last request ended, on the clock
   */
  constructor(
    readonly client: Client,
    public idleSince: number,
  ) {}

  /** Number of bytes received on the connection. */
  get receivedBytes(): number {
    return this.socket?.bytesRead ?? 0;
  }

  markFailed(): void {
    this.hasFailed = true;
  }

  markBusy(): void {
    this.isBusy = true;
  }

  markIdle(now: number): void {
    this.isBusy = false;
    this.idleSince = now;
  }
}
