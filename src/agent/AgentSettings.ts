/** Settings of `citronstage-agent`, with all their defaults. */
import { z } from 'zod';
import { HttpUrl, ProcessSettings } from '../settings/CommonSettings.js';

/** The backend server to which the agent forwards attempts. */
const BackendSettings = z.strictObject({
  /** Id by which operators address the backend server. */
  id: z.string().min(1),
  url: HttpUrl,
  pool: z.string().min(1),
  /** Maximum number of concurrent runs on the backend server. */
  slots: z.number().int().positive(),
  /** Maximum number of waiting attempts; further attempts are refused. */
  maxWaiting: z.number().int().positive().default(256),
});

/** Orders to the model engine; if left out, the agent sends none. */
const OrderSettings = z.strictObject({
  /** Whether the engine rejects orders with an old fencing number. */
  fencing: z.enum(['enforced', 'ignored']),
  /**
   * Time to live of the lease, in which it is renewed three times. With 5 s, 750 agents would make
   * 450 writes per second, which is the limit of the table service; with 30 s they make 75. In
   * return, an agent that replaces a failed one sends its first order that much later.
   */
  leaseTtlMs: z.number().int().positive().default(30_000),
  orderTimeoutMs: z.number().int().positive().default(1000),
  /** Interval at which the engine's state is compared with the desired one and corrected. */
  reconcileIntervalMs: z.number().int().positive().default(2000),
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  version: z.string().default('1'),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
});

/** Schema of the settings file of an agent. */
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
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof AgentSettings>;
