/** Findings about a configuration and the options of the check. */
import type { ServingConfiguration } from '../ServingConfiguration.js';
import type { RetryAllowance } from '../SlidingWindowBudget.js';

/** Names of fields and indexes of arrays, from the root of the configuration. */
export type FieldPath = readonly (string | number)[];

/**
 * `error`: requests fail, or an entry has no effect. `warning`: allowed, but usually a mistake.
 */
export type Severity = 'error' | 'warning';

/** One problem of a configuration. */
export interface Finding {
  /** Name of the rule, for programs that read the report. */
  readonly rule: string;
  readonly severity: Severity;
  /** Path of the field, in the names of {@link ServingConfiguration}. */
  readonly path: FieldPath;
  /** One sentence without a final period. */
  readonly message: string;
}

/** What the check knows about the deployment. Rules that need an absent value find nothing. */
export interface CheckOptions {
  /** Memory of a serving process, in bytes. */
  readonly memoryBytes?: number;
  /** Limit of the retries to each service. */
  readonly retryAllowance?: RetryAllowance;
  /** Number of processes that share {@link retryAllowance}; default 1. */
  readonly processes?: number;
}

/** Finds problems of one kind. The time grows linearly with the size of the configuration. */
export type Rule = (configuration: ServingConfiguration, options: CheckOptions) => Finding[];
