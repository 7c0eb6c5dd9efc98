import type { Clock } from '../common/time/Types.js';
import { WindowBudget, type BudgetAllowance } from '../common/serving/WindowBudget.js';

/** Own share of the repeats allowed, by service. */
export class ServiceBudgets {
  private readonly budgets = new Map<string, WindowBudget>();

  constructor(
    private readonly clock: Clock,
    private readonly allowance: BudgetAllowance,
    private readonly processes: () => number,
  ) {}

  of(service: string): WindowBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = new WindowBudget(this.clock, this.allowance, this.processes);
    this.budgets.set(service, budget);
    return budget;
  }
}
