/** Error bodies returned to callers. `outcome` states whether any part of the request ran. */
import { z } from 'zod';

/**
 * Whether the failed request ran.
 * - `not-run`: no stage was handed to a backend server, and none will be.
 * - `ran`: some stages ran, but the response is incomplete; the request can safely be sent again.
 * - `unknown`: a non-idempotent stage may have run.
 */
export const RequestOutcome = z.enum(['not-run', 'ran', 'unknown']);
export type RequestOutcome = z.infer<typeof RequestOutcome>;

/** Body of every error response, and data of the error event of a stream. */
export const CallerError = z.object({
  error: z.object({
    kind: z.enum([
      'bad-request',
      'unauthenticated',
      'forbidden',
      'not-found',
      'too-large',
      'idempotency-key-required',
      'idempotency-key-reused',
      'infeasible',
      'overloaded',
      'unavailable',
      'deadline-exceeded',
      'stage-failed',
      'outcome-unknown',
      'shutting-down',
      'cancelled',
    ]),
    outcome: RequestOutcome,
    message: z.string(),
    requestId: z.string().optional(),
    retryAfterMs: z.number().optional(),
  }),
});
export type CallerError = z.infer<typeof CallerError>;
export type CallerErrorKind = CallerError['error']['kind'];

/** HTTP status by error kind. */
export const CALLER_ERROR_STATUS: Readonly<Record<CallerErrorKind, number>> = {
  'bad-request': 400,
  unauthenticated: 401,
  forbidden: 403,
  'not-found': 404,
  'too-large': 413,
  'idempotency-key-required': 400,
  'idempotency-key-reused': 409,
  infeasible: 503,
  overloaded: 503,
  unavailable: 503,
  'deadline-exceeded': 504,
  'stage-failed': 502,
  'outcome-unknown': 504,
  'shutting-down': 503,
  cancelled: 499,
};
