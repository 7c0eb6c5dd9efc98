const MS_PER_SECOND = 1000;

/**
 * Allowance of bytes that is replenished at a constant rate.
 *
 * Answers a sender that sends small pieces without end: each is within its limit, but all of them
 * together cost the time of the others.
 */
export class ByteAllowance {
  private spentBytes = 0;

  private updatedAt = -Infinity;

  /** @param bytesPerS - bytes that are replenished in a second, and most bytes that are saved up */
  constructor(private readonly bytesPerS: number) {}

  /**
   * Takes bytes from the allowance, also more than are left.
   * @param bytes - number of bytes
   * @param now - time, on the clock, in ms
   * @returns time until the overdraft is replenished, in ms; 0 without one
   */
  spend(bytes: number, now: number): number {
    const replenished = ((now - this.updatedAt) * this.bytesPerS) / MS_PER_SECOND;
    this.updatedAt = now;
    this.spentBytes = Math.max(0, this.spentBytes - replenished) + bytes;
    const overdraft = Math.max(0, this.spentBytes - this.bytesPerS);
    return (overdraft * MS_PER_SECOND) / this.bytesPerS;
  }
}
