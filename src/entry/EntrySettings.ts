/** Settings of `citronstage-entry`. All defaults are here. */
import { z } from 'zod';
import { ProcessSettings } from '../settings/CommonSettings.js';

/** Routing policy. Each part can be switched off, so that its worth can be measured. */
export const PolicySettings = z
  .strictObject({
    candidates: z.number().int().positive().default(8),
    feasibility: z.boolean().default(true),
    loadAware: z.boolean().default(true),
    prefixAffinity: z.boolean().default(true),
    ejection: z.boolean().default(true),
    hedging: z.boolean().default(true),
    /** Hedges over first attempts. */
    hedgeBudget: z.number().min(0).max(1).default(0.03),
    /** Retries over first attempts. */
    retryBudget: z.number().min(0).max(1).default(0.1),
  })
  .prefault({});
export type PolicySettings = z.infer<typeof PolicySettings>;

export const EntrySettings = ProcessSettings.extend({
  /** Operators and the SHA-256 digests of their tokens, hexadecimal. */
  operators: z
    .array(
      z.strictObject({ name: z.string().min(1), tokenDigest: z.string().regex(/^[0-9a-f]{64}$/) }),
    )
    .default([]),
  configuration: z
    .strictObject({ pollIntervalMs: z.number().int().positive().default(1000) })
    .prefault({}),
  membership: z
    .strictObject({ pollIntervalMs: z.number().int().positive().default(1000) })
    .prefault({}),
  ledger: z
    .strictObject({ flushIntervalMs: z.number().int().positive().default(10_000) })
    .prefault({}),
  policy: PolicySettings,
  shutdown: z
    .strictObject({
      /** Time between failing the health check and closing the listener, for the balancer. */
      balancerDelayMs: z.number().int().nonnegative().default(2000),
      deadlineMs: z.number().int().positive().default(30_000),
    })
    .prefault({}),
});
export type EntrySettings = z.infer<typeof EntrySettings>;
