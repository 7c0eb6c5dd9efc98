/** Request and response bodies of the caller interface. */
import { z } from 'zod';
import { Usage } from './Usage.js';

/** Maximum size of a request body, in bytes. */
export const MAX_REQUEST_BYTES = 1_048_576;

/** Body of `POST /v1/pipelines/{template}/requests`. */
export const CallerRequest = z.strictObject({
  input: z.record(z.string(), z.unknown()),
  /** Deadline of this request, in milliseconds, if shorter than the account's. */
  timeoutMs: z.number().int().positive().max(600_000).optional(),
});
export type CallerRequest = z.infer<typeof CallerRequest>;

/** Complete response, sent as JSON body or as data of the `result` event. */
export const CallerResult = z.object({
  requestId: z.string(),
  output: z.unknown(),
  stages: z.array(z.object({ stage: z.string(), usage: Usage, replayed: z.boolean() })),
});
export type CallerResult = z.infer<typeof CallerResult>;
