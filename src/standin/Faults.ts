/** Faults of a stand-in service. They can be changed at run time with `PUT /control/faults`. */
import { z } from 'zod';

const Share = z.number().min(0).max(1);

export const Faults = z.strictObject({
  /** Delay added to every call, in milliseconds. */
  delayMs: z.number().nonnegative().default(0),
  /** Every call is answered with status 503 and has no effect. */
  outage: z.boolean().default(false),
  /** Calls are accepted, have no effect and are never answered. */
  hang: z.boolean().default(false),
  /** Share of writes and runs that take effect but whose connection closes without a response. */
  lostAnswerShare: Share.default(0),
  /** Share of calls whose connection closes without effect and without a response. */
  lostRequestShare: Share.default(0),
  /** Share of calls answered with status 500 without effect. */
  errorShare: Share.default(0),
  /** Age of the state that table reads return, in milliseconds. */
  staleReadMs: z.number().nonnegative().default(0),
  /** Delay until membership changes and load reports become visible, in milliseconds. */
  lagMs: z.number().nonnegative().default(0),
  /** Factor applied to service times. */
  slowFactor: z.number().positive().default(1),
  /** Share of responses that are cut off halfway. */
  truncatedShare: Share.default(0),
  /** Whether orders with an old fencing number are applied instead of rejected. */
  ignoreFencing: z.boolean().default(false),
});
export type Faults = z.infer<typeof Faults>;

/** One run of work by a backend stand-in, as `GET /control/runs` lists it. */
export const RunRecord = z.object({
  requestId: z.string(),
  attemptId: z.string(),
  account: z.string(),
  idempotencyKey: z.string().nullable(),
  operation: z.string(),
  /** Wall-clock time, in milliseconds since 1970-01-01 UTC. */
  startedAt: z.number(),
  finished: z.boolean(),
  acceleratorMs: z.number(),
});
export type RunRecord = z.infer<typeof RunRecord>;
