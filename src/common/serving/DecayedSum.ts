/** A sum whose earlier parts lose weight over time. */
export class DecayedSum {
  private value = 0;

  private at = 0;

  /** @param halfLifeMs - time in which the weight is halved, in ms */
  constructor(private readonly halfLifeMs: number) {}

  /**
   * @param now - current time, on the clock, in ms
   * @param amount - amount to add
   */
  add(now: number, amount: number): void {
    this.value = this.valueAt(now) + amount;
    this.at = now;
  }

  /** @returns the sum as of now */
  valueAt(now: number): number {
    return this.value * 0.5 ** ((now - this.at) / this.halfLifeMs);
  }
}
