import type { RetryBudget } from '../common/routing/RetryBudget.js';
import type { Router } from '../common/routing/Router.js';
import type { Clock } from '../common/time/Types.js';
import type { ClaimSettler } from './ClaimSettler.js';
import type { SchemaValidator } from './SchemaValidator.js';
import { StageRun } from './StageRun.js';
import type { AgentCalls, StageEnd, StageExecutor, StageTask, UsageRecorder } from './Types.js';

/** Services that {@link StageRunner} uses. */
export interface StageServices {
  readonly clock: Clock;
  readonly agents: AgentCalls;
  readonly router: Router;
  readonly retryBudget: RetryBudget;
  /** Budget of hedged attempts; null if hedging is disabled. */
  readonly hedgeBudget: RetryBudget | null;
  readonly claims: ClaimSettler;
  readonly schemas: SchemaValidator;
  readonly ledger: UsageRecorder;
}

/** Runs each stage in a {@link StageRun}, with services shared by all requests. */
export class StageRunner implements StageExecutor {
  constructor(private readonly services: StageServices) {}

  run(task: StageTask): Promise<StageEnd> {
    return new StageRun(this.services, task).run();
  }
}
