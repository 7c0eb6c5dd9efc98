/** Tokens that a new process starts with, and the most that are saved up. */
const INITIAL_TOKENS = 10;
const MAX_TOKENS = 100;

/** Limits extra attempts to a share of first attempts, so that they can't multiply an overload. */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  /** @param share - extra attempts over first attempts, 0 to 1; 0 allows none at all */
  constructor(private readonly share: number) {
    if (share === 0) this.tokens = 0;
  }

  /** Notes a first attempt. */
  earn(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /** @returns true if an extra attempt is allowed; it is then charged. */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
