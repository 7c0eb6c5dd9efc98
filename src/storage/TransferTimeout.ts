import type { CallOptions } from './Types.js';

/** Longest time that a body may take, in ms, however steadily it arrives. */
const MAX_BODY_MS = 10_000;

/**
 * Ends a call that makes no progress.
 *
 * Handles a large response over a narrow link, which takes longer than a lost connection may go
 * unnoticed: once the body has begun, only a pause between two of its parts is a sign of a loss.
 */
export class TransferTimeout {
  private timer: NodeJS.Timeout;

  private bytes = 0;

  /** Monotonic time at which the body must be complete, in ms; undefined before it has begun. */
  private bodyEndsAt: number | undefined;

  /**
   * @param options - time-outs of the call, which begins now
   * @param onExpired - called when the call is to end
   * @param now - monotonic time, in ms
   */
  constructor(
    private readonly options: Pick<CallOptions, 'timeoutMs' | 'stallTimeoutMs'>,
    private readonly onExpired: () => void,
    private readonly now = () => performance.now(),
  ) {
    this.timer = setTimeout(onExpired, options.timeoutMs);
  }

  /** What has arrived, for the log. */
  get description(): string {
    const { timeoutMs, stallTimeoutMs } = this.options;
    if (this.bodyEndsAt === undefined) return `no response within ${timeoutMs} ms`;
    const limit = stallTimeoutMs === undefined ? timeoutMs : `${stallTimeoutMs}..${MAX_BODY_MS}`;
    return `body not complete within ${limit} ms, ${this.bytes} bytes received`;
  }

  /** Called with the size of each part of the body. */
  recordPart(bytes: number): void {
    this.bytes += bytes;
    const now = this.now();
    this.bodyEndsAt ??= now + MAX_BODY_MS;
    const { stallTimeoutMs } = this.options;
    if (stallTimeoutMs === undefined || now >= this.bodyEndsAt) return;
    clearTimeout(this.timer);
    this.timer = setTimeout(this.onExpired, Math.min(stallTimeoutMs, this.bodyEndsAt - now));
  }

  /** Called when the call has ended. */
  dispose(): void {
    clearTimeout(this.timer);
  }
}
