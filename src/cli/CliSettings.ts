/** Settings file of `citronstage`. Options of the command line come first. */
import { z } from 'zod';
import { HttpUrl } from '../settings/CommonSettings.js';

export const CliSettings = z.strictObject({
  /** Base URLs of entries or of the balancer in front of them, tried in this order. */
  entries: z.array(HttpUrl).default([]),
  /** File that holds the operator's token. */
  tokenFile: z.string().min(1).optional(),
  /** Time-out of one call, in milliseconds. */
  timeoutMs: z.number().int().positive().default(15_000),
});
export type CliSettings = z.infer<typeof CliSettings>;
