import { write } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';

/** Bytes that are buffered for a slow reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const STANDARD_OUTPUT_FD = 1;

const DRAIN_POLL_MS = 5;

/** Writes lines to standard output without ever blocking the process. */
export class LineSink {
  private buffered: string[] = [];

  private bufferedBytes = 0;

  private isWriting = false;

  private droppedCount = 0;

  /** @param line - text without its line break */
  readonly write = (line: string): void => {
    if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.droppedCount += 1;
      return;
    }
    this.buffered.push(line);
    this.bufferedBytes += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      setImmediate(() => this.flush());
    }
  };

  /**
   * Waits until all lines are written; called before the process exits.
   * @param timeoutMs - longest time to wait for a slow reader, in ms
   */
  async drain(timeoutMs: number): Promise<void> {
    const endsAt = performance.now() + timeoutMs;
    while (this.isWriting && performance.now() < endsAt) await sleep(DRAIN_POLL_MS);
  }

  private flush(): void {
    if (this.buffered.length === 0) {
      this.isWriting = false;
      return;
    }
    if (this.droppedCount > 0) {
      this.buffered.push(
        JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.droppedCount }),
      );
      this.droppedCount = 0;
    }
    const data = Buffer.from(`${this.buffered.join('\n')}\n`);
    this.buffered = [];
    this.bufferedBytes = 0;
    this.writeAll(data);
  }

  private writeAll(data: Buffer): void {
    write(STANDARD_OUTPUT_FD, data, (error, written) => {
      // An error, such as a closed pipe, can't be logged; the process continues without these lines.
      if (!error && written < data.length) this.writeAll(data.subarray(written));
      else this.flush();
    });
  }
}
