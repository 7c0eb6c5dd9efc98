/**
 * Maximum number of extra attempts that accumulate. A burst of failures can use all of them at
 * once.
 */
const MAX_TOKENS = 100;

/**
 * Token bucket that limits extra attempts (retries and hedges) to a share of first attempts, so
 * that they cannot amplify an overload.
 */
export class RetryBudget {
  private tokens: number;

  /**
   * @param share - ratio of extra to first attempts, 0 to 1; 0 allows no extra attempts
   * @param initialTokens - number of extra attempts allowed when the process starts
   */
  constructor(
    private readonly share: number,
    initialTokens: number,
  ) {
    this.tokens = share === 0 ? 0 : initialTokens;
  }

  /** Adds the share of a retry that one first attempt allows. Called for each first attempt. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.share);
  }

  /**
   * Charges an extra attempt if the budget allows it.
   * @returns true if the extra attempt is allowed
   */
  trySpend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
