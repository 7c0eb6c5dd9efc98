/** Settings of `citronstage-agent`. All defaults are here. */
import { z } from 'zod';
import { HttpUrl, ProcessSettings } from '../settings/CommonSettings.js';

/** The backend server that the agent stands beside. */
const BackendSettings = z.strictObject({
  /** Id of the backend server, used by operators. */
  id: z.string().min(1),
  url: HttpUrl,
  pool: z.string().min(1),
  /** Concurrent runs that the backend server takes. */
  slots: z.number().int().positive(),
  /** Attempts that may wait; more are refused. */
  maxWaiting: z.number().int().positive().default(256),
});

/** Orders to the model engine; without it the agent gives none. */
const OrderSettings = z.strictObject({
  /** Whether the engine rejects orders with an old fencing number. */
  fencing: z.enum(['enforced', 'ignored']),
  /**
   * Three renewals fall into it. At 5 s, 750 agents would write 450 times a second, as much as the
   * table service takes; at 30 s it is 75. A new agent gives its first order that much later.
   */
  leaseTtlMs: z.number().int().positive().default(30_000),
  orderTimeoutMs: z.number().int().positive().default(1000),
  /** Interval at which the wanted state is compared and applied again. */
  reconcileIntervalMs: z.number().int().positive().default(2000),
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  version: z.string().default('1'),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
});

export const AgentSettings = ProcessSettings.extend({
  backend: BackendSettings,
  orders: OrderSettings.optional(),
  configuration: z
    .strictObject({ pollIntervalMs: z.number().int().positive().default(2000) })
    .prefault({}),
  ledger: z
    .strictObject({ flushIntervalMs: z.number().int().positive().default(10_000) })
    .prefault({}),
  results: z
    .strictObject({ retentionMs: z.number().int().positive().default(60_000) })
    .prefault({}),
  shutdown: z
    .strictObject({ deadlineMs: z.number().int().positive().default(30_000) })
    .prefault({}),
});
export type AgentSettings = z.infer<typeof AgentSettings>;
