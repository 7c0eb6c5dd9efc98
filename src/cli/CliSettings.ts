/** Settings file of `citronstage`. Command-line options take precedence. */
import { z } from 'zod';
import { HttpUrl } from '../settings/CommonSettings.js';

export const CliSettings = z.strictObject({
  /** Base URLs of entries or of the load balancer in front of them, tried in this order. */
  entries: z.array(HttpUrl).default([]),
  /** Path of the file with the operator's token. */
  tokenFile: z.string().min(1).optional(),
  /** Timeout of one call, in milliseconds. */
  timeoutMs: z.number().int().positive().default(15_000),
});
export type CliSettings = z.infer<typeof CliSettings>;
