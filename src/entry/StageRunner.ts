import type { RetryBudget } from '../common/routing/RetryBudget.js';
import type { Router } from '../common/routing/Router.js';
import type { Clock } from '../common/time/Types.js';
import type { ClaimSettler } from './ClaimSettler.js';
import type { SchemaChecks } from './SchemaChecks.js';
import { StageRun } from './StageRun.js';
import type { AgentCalls, StageEnd, StageExecutor, StageTask, UsageRecorder } from './Types.js';

/** What running stages needs. */
export interface StageServices {
  readonly clock: Clock;
  readonly agents: AgentCalls;
  readonly router: Router;
  readonly retries: RetryBudget;
  /** Null if hedging is switched off. */
  readonly hedges: RetryBudget | null;
  readonly claims: ClaimSettler;
  readonly schemas: SchemaChecks;
  readonly ledger: UsageRecorder;
}

/** Runs stages on backend servers. */
export class StageRunner implements StageExecutor {
  constructor(private readonly services: StageServices) {}

  run(task: StageTask): Promise<StageEnd> {
    return new StageRun(this.services, task).run();
  }
}
