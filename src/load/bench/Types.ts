/** Bench: the same open-loop arrivals against the naive and the current policy. */
import type { CallerAnswer } from '../client/CallerClient.js';
import type { AccountDescription, TemplateTraffic } from '../deployment/Types.js';

/** Options of a bench run. */
export interface BenchOptions {
  readonly deployment: string;
  readonly fault: string;
  readonly seed: number;
  readonly seconds: number;
  /** Offered load as a multiple of capacity. */
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
  /** Position of the entry that the balancer chooses. */
  readonly entry: number;
}

/** An arrival with what came back. */
export interface Sample {
  readonly arrival: Arrival;
  /** Last answer. */
  readonly answer: CallerAnswer;
  /** Sends, the repeated ones after broken connections included. */
  readonly sends: number;
}

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Figures of one policy. */
export interface PolicyReport {
  /** Requests delivered once, whole and within the deadline, over requests offered. */
  readonly attainment: number;
  readonly attainmentByAccount: Readonly<Record<string, number>>;
  /** Requests that got neither a result nor an error. */
  readonly lost: number;
  /** Keys of non-idempotent requests with more than one effect. */
  readonly doubled: number;
  /** Results or streams that are not the right answer to their request. */
  readonly wrong: number;
  /** Answers "not run" to requests of which something ran. */
  readonly falseRefusals: number;
  /** Answers "not run" to a repeated send of a key whose earlier send had run and got no answer. */
  readonly refusedAfterEarlierRun: number;
  /** Errors by kind and outcome, broken answers by cause. */
  readonly errors: Readonly<Record<string, number>>;
  readonly latencyMs: Percentiles;
  readonly latencyByTemplateMs: Readonly<Record<string, Percentiles>>;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  /** Accelerator milliseconds by client account and stage. */
  readonly costByStage: Readonly<Record<string, Readonly<Record<string, number>>>>;
  /** Part of the reported usage that reached no caller. */
  readonly overheadShare: number;
  /** Part of the stand-ins' own meter that the report does not attribute. */
  readonly costUnattributed: number;
}

/** Last line of the output of `bench --json`. */
export interface BenchReport extends BenchOptions {
  readonly offered: number;
  readonly policies: { readonly naive: PolicyReport; readonly current: PolicyReport };
}
