/** Most extra attempts that are saved up; a burst of failures spends them at once. */
const MAX_TOKENS = 100;

/** Limits extra attempts to a share of first attempts, so that they can't multiply an overload. */
export class RetryBudget {
  private tokens: number;

  /**
   * @param share - extra attempts over first attempts, 0 to 1; 0 allows none at all
   * @param initialTokens - extra attempts that a new process may make
   */
  constructor(
    private readonly share: number,
    initialTokens: number,
  ) {
    this.tokens = share === 0 ? 0 : initialTokens;
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
