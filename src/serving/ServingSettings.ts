/** Settings of a serving process. */
import { z } from 'zod';
import { Address, LogSettings } from '../settings/CommonSettings.js';

export const ServingSettings = z.object({
  id: z.string().min(1),
  ip: z.ipv4(),
  failureDomain: z.string().min(1),
  listen: z.object({
    /** Where callers connect. */
    callers: Address,
    /** Where the balancer asks whether the process is ready. */
    readiness: Address,
  }),
  /** First and last port for calls between processes. */
  internalPorts: z.tuple([z.number().int(), z.number().int()]),
  /** Address of the store. */
  store: Address,
  /** What the instance has; processes with more carry more of the batching. */
  instance: z.object({
    /** Part of each core that the process may use. */
    coreShare: z.number().positive(),
    cores: z.number().positive(),
    linkMbps: z.number().positive(),
  }),
  shutdown: z.object({
    /** Time from SIGTERM to SIGKILL, in seconds. */
    graceSeconds: z.number().positive(),
  }),
  retryBudget: z.object({
    /** Repeats over requests, over all processes. */
    ratio: z.number().min(0),
    /** Repeats allowed in a window without requests, over all processes. */
    slack: z.number().min(0),
    windowSeconds: z.number().positive(),
  }),
  log: LogSettings,
});
export type ServingSettings = z.infer<typeof ServingSettings>;
