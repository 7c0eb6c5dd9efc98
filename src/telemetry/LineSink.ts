import { write } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

/** Bytes that may wait for a slow reader; lines beyond are dropped and counted. */
const MAX_PENDING_BYTES = 256 * 1024;

const STANDARD_OUTPUT = 1;

const DRAIN_POLL_MS = 5;

/** Writes lines to standard output without ever blocking the process. */
export class LineSink {
  private pending: string[] = [];

  private pendingBytes = 0;

  private isWriting = false;

  private dropped = 0;

  /** @param line - text without its line break */
  readonly write = (line: string): void => {
    if (this.pendingBytes + line.length > MAX_PENDING_BYTES) {
      this.dropped += 1;
      return;
    }
    this.pending.push(line);
    this.pendingBytes += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      setImmediate(() => this.flush());
    }
  };

  /**
   * Waits until all lines are written, before the process exits.
   * @param timeoutMs - longest time to wait for a slow reader
   */
  async drain(timeoutMs: number): Promise<void> {
    const giveUpAt = performance.now() + timeoutMs;
    while (this.isWriting && performance.now() < giveUpAt) await sleep(DRAIN_POLL_MS);
  }

  private flush(): void {
    if (this.pending.length === 0) {
      this.isWriting = false;
      return;
    }
    if (this.dropped > 0) {
      this.pending.push(
        JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.dropped }),
      );
      this.dropped = 0;
    }
    const data = Buffer.from(`${this.pending.join('\n')}\n`);
    this.pending = [];
    this.pendingBytes = 0;
    this.writeAll(data);
  }

  private writeAll(data: Buffer): void {
    write(STANDARD_OUTPUT, data, (error, written) => {
      // A reader that has gone can't be told; the process goes on without its log.
      if (!error && written < data.length) this.writeAll(data.subarray(written));
      else this.flush();
    });
  }
}
