/** Ledger rows: cumulative usage per client account, template, stage and class. */
import { z } from 'zod';
import { Usage, UsageClass } from './Usage.js';

/** Table that holds the ledger. */
export const LEDGER_TABLE = 'ledger';

/**
 * One cumulative counter. `agentId` and `agentIncarnation` identify the agent that did the work.
 */
export const LedgerEntry = z.object({
  agentId: z.string(),
  agentIncarnation: z.string(),
  /** Calendar month, `YYYY-MM`, UTC. */
  month: z.string().regex(/^\d{4}-\d{2}$/),
  account: z.string(),
  template: z.string(),
  stage: z.string(),
  class: UsageClass,
  usage: Usage,
  attempts: z.number().int().nonnegative(),
  /** Attempts and accelerator milliseconds by day of the month, `DD`; the input of forecasts. */
  days: z
    .record(
      z.string().regex(/^\d{2}$/),
      z.tuple([z.number().int().nonnegative(), z.number().nonnegative()]),
    )
    .optional(),
});
export type LedgerEntry = z.infer<typeof LedgerEntry>;

/** Attempts and accelerator milliseconds by day of the month. */
export type LedgerDays = NonNullable<LedgerEntry['days']>;

/**
 * Complete row of one writer. Writing a row again has no effect, and a row never replaces one with
 * a higher sequence number.
 */
export const LedgerRow = z.object({
  writer: z.enum(['agent', 'entry']),
  writerId: z.string(),
  incarnation: z.string(),
  sequence: z.number().int().nonnegative(),
  entries: z.array(LedgerEntry),
});
export type LedgerRow = z.infer<typeof LedgerRow>;

/**
 * Returns the key of a ledger row.
 * @param row - writer, its id and incarnation
 * @returns row key
 */
export function ledgerKey(row: Pick<LedgerRow, 'writer' | 'writerId' | 'incarnation'>): string {
  return `${row.writer}/${encodeURIComponent(row.writerId)}/${row.incarnation}`;
}
