/** Longest cold period that is believed, in ms. */
export const MAX_COLD_MS = 60_000;

/**
 * Cold period that one source states, the rows or the responses of a server.
 *
 * Handles statements that never decrease or are far too long, which would keep a server almost
 * without requests, beside servers that become cold again and again.
 */
export class StatedPeriod {
  /** Time of the first statement of this period, on the clock, in ms. */
  private since: number | undefined;

  /** End as stated, on the clock, in ms. */
  private statedEndsAt = -Infinity;

  private cappedEndsAt = -Infinity;

  private isCapped = false;

  /**
   * @param gapMs - time after the end of a period from which on a statement begins another one, in
   *   ms; before it, another one begins only after the source has stated that the server is not cold
   */
  constructor(private readonly gapMs: number) {}

  /** Latest end of the periods so far, on the clock, in ms. */
  get endsAt(): number {
    return this.cappedEndsAt;
  }

  /**
   * Records a statement.
   * @param leftMs - remaining time as stated, in ms; 0 if the server is not cold
   * @param now - time of receipt, on the clock, in ms
   * @returns whether the statement exceeds the longest period, for the first time in this one
   */
  record(leftMs: number, now: number): boolean {
    if (leftMs <= 0) {
      this.since = undefined;
      return false;
    }
    if (this.since === undefined || now >= this.statedEndsAt + this.gapMs) {
      this.since = now;
      this.statedEndsAt = -Infinity;
      this.isCapped = false;
    }
    const latestEnd = this.since + MAX_COLD_MS;
    this.statedEndsAt = Math.max(this.statedEndsAt, now + leftMs);
    this.cappedEndsAt = Math.max(this.cappedEndsAt, Math.min(this.statedEndsAt, latestEnd));
    if (this.isCapped || this.statedEndsAt <= latestEnd) return false;
    this.isCapped = true;
    return true;
  }
}
