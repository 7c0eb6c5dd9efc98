import type { Clock } from '../common/time/Types.js';
import { SlidingWindowBudget, type RetryAllowance } from '../common/serving/SlidingWindowBudget.js';

/** Retry budgets by service: this process's share of the retries that the deployment allows. */
export class RetryBudgets {
  private readonly budgets = new Map<string, SlidingWindowBudget>();

  /**
   * @param clock - time source
   * @param allowance - retries that the whole deployment allows for each service
   * @param processCount - number of processes that share the allowance
   */
  constructor(
    private readonly clock: Clock,
    private readonly allowance: RetryAllowance,
    private readonly processCount: () => number,
  ) {}

  /** @returns budget of the service, which is created on first use */
  of(service: string): SlidingWindowBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new SlidingWindowBudget(this.clock, this.allowance, this.processCount);
    this.budgets.set(service, budget);
    return budget;
  }
}
