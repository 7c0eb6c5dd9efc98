import type { Client } from 'undici';

/** One connection to a backend server. */
export class Link {
  isBusy = false;

  /** True once the socket failed; a body that ends with the connection is incomplete then. */
  hasFailed = false;

  constructor(
    readonly client: Client,
    public idleSince: number,
  ) {}

  noteFailure(): void {
    this.hasFailed = true;
  }

  take(): void {
    this.isBusy = true;
  }

  giveBack(now: number): void {
    this.isBusy = false;
    this.idleSince = now;
  }
}
