/** Settings of `citronstage-entry` with their defaults. */
import { z } from 'zod';
import { ProcessSettings } from '../settings/CommonSettings.js';

/** Routing policy. Each part can be disabled, so that its effect can be measured. */
export const PolicySettings = z
  .strictObject({
    /** Size of the candidate set of a routing key. */
    candidates: z.number().int().positive().default(8),
    feasibility: z.boolean().default(true),
    loadAware: z.boolean().default(true),
    prefixAffinity: z.boolean().default(true),
    ejection: z.boolean().default(true),
    hedging: z.boolean().default(true),
    /** Hedged attempts per first attempt. */
    hedgeBudget: z.number().min(0).max(1).default(0.03),
    /** Retries per first attempt. */
    retryBudget: z.number().min(0).max(1).default(0.1),
  })
  .prefault({});
export type PolicySettings = z.infer<typeof PolicySettings>;

export const EntrySettings = ProcessSettings.extend({
  /** Names of operators and SHA-256 digests of their tokens, hexadecimal. */
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
      /**
       * Time between failing the readiness check and closing the listener, in ms, for the load
       * balancer to stop sending requests.
       */
      balancerDelayMs: z.number().int().nonnegative().default(2000),
      /** Longest wait for running requests after the listener was closed, in ms. */
      deadlineMs: z.number().int().positive().default(30_000),
    })
    .prefault({}),
});
export type EntrySettings = z.infer<typeof EntrySettings>;
