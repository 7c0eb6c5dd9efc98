/**
 * Types of the bench, which runs the same open-loop arrivals against the naive and the current
 * policy.
 */
import type { CallerAnswer } from '../client/CallerClient.js';
import type { AccountDescription, TemplateTraffic } from '../deployment/Types.js';

/** Options of a bench run. */
export interface BenchOptions {
  readonly deployment: string;
  readonly fault: string;
  readonly seed: number;
  /** Length of the load. */
  readonly seconds: number;
  /** Offered load as a multiple of the capacity of the deployment. */
  readonly load: number;
}

/** One request of the load. */
export interface Arrival {
  /** Milliseconds since the start of the load. */
  readonly atMs: number;
  readonly account: AccountDescription;
  readonly traffic: TemplateTraffic;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey: string | undefined;
  /** Index of the entry that the balancer chooses. */
  readonly entry: number;
}

/** An arrival and its answer. */
export interface Sample {
  readonly arrival: Arrival;
  /** Answer to the last send. */
  readonly answer: CallerAnswer;
  /** Number of sends, including those after a broken connection. */
  readonly sends: number;
}

/** Latency percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Figures of one policy. */
export interface PolicyReport {
  /**
   * Share of the offered requests that got a correct and complete result within the deadline and
   * took effect at most once.
   */
  readonly attainment: number;
  readonly attainmentByAccount: Readonly<Record<string, number>>;
  /** Requests that got neither a result nor an error. */
  readonly lost: number;
  /** Non-idempotent requests whose idempotency key took effect more than once. */
  readonly doubled: number;
  /** Requests whose result or stream differs from the expected answer. */
  readonly wrong: number;
  /** Requests answered with outcome "not-run" although a stage ran. */
  readonly falseRefusals: number;
  /** Later sends of a key answered with "not-run" after an earlier, unanswered send had run. */
  readonly refusedAfterEarlierRun: number;
  /** Number of errors by kind and outcome, and of lost requests by cause. */
  readonly errors: Readonly<Record<string, number>>;
  readonly latencyMs: Percentiles;
  readonly latencyByTemplateMs: Readonly<Record<string, Percentiles>>;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  /** Accelerator milliseconds by client account and stage. */
  readonly costByStage: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Share of the reported usage that is overhead, i.e. not part of a delivered result. */
  readonly overheadShare: number;
  /** Share of the usage metered by the stand-ins that the policy does not report. */
  readonly costUnattributed: number;
}

/** Last line of the output of `bench --json`. */
export interface BenchReport extends BenchOptions {
  readonly offered: number;
  readonly policies: { readonly naive: PolicyReport; readonly current: PolicyReport };
}
