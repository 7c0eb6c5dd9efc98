/** Faults of a stand-in service, settable at run time with `PUT /control/faults`. */
import { z } from 'zod';

const Share = z.number().min(0).max(1);

export const Faults = z.strictObject({
  /** Added to every call, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Every call is answered with status 503 and does nothing. */
  outage: z.boolean().default(false),
  /** Calls are accepted, do nothing and are never answered. */
  hang: z.boolean().default(false),
  /** Share of writes or runs that take effect and whose connection is then closed unanswered. */
  lostAnswerShare: Share.default(0),
  /** Share of calls whose connection is closed before anything happens. */
  lostRequestShare: Share.default(0),
  /** Share of calls answered with status 500 without effect. */
  errorShare: Share.default(0),
  /** Table reads give the state of this long ago, in milliseconds. */
  staleReadMs: z.number().nonnegative().default(0),
  /** Membership changes and load reports become visible this late, in milliseconds. */
  lagMs: z.number().nonnegative().default(0),
  /** Service times are multiplied by this. */
  slowFactor: z.number().positive().default(1),
  /** Share of answers cut off in the middle. */
  truncatedShare: Share.default(0),
  /** Orders with old fencing numbers are applied all the same. */
  ignoreFencing: z.boolean().default(false),
});
export type Faults = z.infer<typeof Faults>;

/** One run of work by a backend stand-in, as `GET /control/runs` lists it. */
export const Run = z.object({
  requestId: z.string(),
  attemptId: z.string(),
  account: z.string(),
  idempotencyKey: z.string().nullable(),
  operation: z.string(),
  /** Wall-clock milliseconds. */
  startedAt: z.number(),
  finished: z.boolean(),
  acceleratorMs: z.number(),
});
export type Run = z.infer<typeof Run>;
