/**
 * Messages between entry and agent: the attempt sent by the entry, and the frames of the response
 * stream.
 */
import { z } from 'zod';
import { Claim } from './Claim.js';
import { Usage } from './Usage.js';

/**
 * Agent endpoint that receives an {@link Attempt} and responds with a stream of {@link Frame}
 * lines.
 */
export const ATTEMPT_PATH = '/v1/attempts';

/** Interval between heartbeat frames of an attempt that has not ended, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 250;

/**
 * Time without a frame, in milliseconds, after which the entry sends the attempt again on a new
 * connection.
 */
export const SILENCE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS;

/** Stage kinds; each kind has its own backend protocol. */
export const StageKind = z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']);
export type StageKind = z.infer<typeof StageKind>;

/** Configuration revision known to the sender; part of every attempt and response. */
export const RevisionNotice = z.object({
  /** Highest known revision. */
  revision: z.number().int().nonnegative(),
  /**
   * Milliseconds since the store last confirmed that this revision is the newest; null if never.
   */
  confirmedAgeMs: z.number().nonnegative().nullable(),
});
export type RevisionNotice = z.infer<typeof RevisionNotice>;

/** One execution of one stage of one request on one backend server. */
export const Attempt = z.object({
  attemptId: z.string().min(1),
  requestId: z.string().min(1),
  account: z.string().min(1),
  template: z.string().min(1),
  stage: z.string().min(1),
  kind: StageKind,
  /** Model for encode, rerank and generate stages. */
  model: z.string().optional(),
  /** Operation path segment for call stages, such as `deposits`. */
  operation: z.string().optional(),
  /** Stage input with resolved references. Its type depends on `kind`. */
  input: z.unknown(),
  /** Time left until the request's deadline when the attempt was sent, in milliseconds. */
  remainingMs: z.number(),
  idempotent: z.boolean(),
  /** Required for non-idempotent attempts. */
  idempotencyKey: z.string().min(1).max(256).optional(),
  /** Existing claim that this attempt may replace, because the entry has settled it before. */
  replacesClaim: Claim.optional(),
  /** Weight of the account in fair queueing: share of spend times priority weight. */
  weight: z.number().positive(),
  /** Larger values are more urgent. Passed on to engines that support priorities. */
  priority: z.number().int().min(0).max(9),
  /** Whether the attempt is a hedge or a retry. Its usage is overhead if its result is not used. */
  hedge: z.boolean(),
  /** Offset of the first chunk to send; 0 for a new attempt. */
  resumeFrom: z.number().int().nonnegative(),
  /** Configuration revision with which the request was admitted. */
  pinnedRevision: z.number().int().nonnegative(),
  notice: RevisionNotice,
  /** `ip:port` of the sending entry, from which the agent may pull configuration changes. */
  sender: z.string().optional(),
  /** W3C trace context of the sender's span. */
  traceparent: z.string().optional(),
});
export type Attempt = z.infer<typeof Attempt>;

/**
 * Load of a backend server as seen by its agent; part of every frame except chunks. Fields with
 * their default value are omitted.
 */
export const Load = z.object({
  /** Maximum number of concurrent runs on the backend server. */
  slots: z.number().int().positive(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative().default(0),
  /** Expected queueing time of a new attempt, in milliseconds. */
  waitMs: z.number().nonnegative().default(0),
  draining: z.boolean().default(false),
});
export type Load = z.infer<typeof Load>;

/** Refusal reasons. Each of them means that this attempt did not run and never will. */
export const RefusalReason = z.enum([
  'draining',
  'infeasible',
  'queue-full',
  'stale-revision',
  'voided',
  'claimed',
  'claim-unavailable',
  'attempt-mismatch',
  'idempotency-key-reused',
  'wrong-server',
  /** No connection to the backend server could be established, so the call was not sent. */
  'backend-unavailable',
  'invalid',
]);
export type RefusalReason = z.infer<typeof RefusalReason>;

const FrameIdentity = z.object({
  attemptId: z.string(),
  /** Random id generated at each start of the agent process. */
  incarnation: z.string(),
});

const FrameBase = FrameIdentity.extend({ notice: RevisionNotice, load: Load });

/** One line of the response stream. `result`, `refused` and `failed` are final. */
export const Frame = z.discriminatedUnion('type', [
  FrameBase.extend({ type: z.literal('accepted') }),
  FrameBase.extend({ type: z.literal('heartbeat') }),
  /**
   * Generated text; `offset` counts chunks from 0. Chunks may be sent for every token, so they omit
   * the notice and the load, which the other frames contain.
   */
  FrameIdentity.extend({
    type: z.literal('chunk'),
    offset: z.number().int().nonnegative(),
    text: z.string(),
    tokens: z.number().int().nonnegative(),
  }),
  FrameBase.extend({
    type: z.literal('result'),
    requestId: z.string(),
    account: z.string(),
    stage: z.string(),
    /** JSON text of the output; `length` and `digest` refer to its UTF-8 bytes. */
    output: z.string(),
    length: z.number().int().nonnegative(),
    /** SHA-256, hexadecimal. */
    digest: z.string(),
    /** Number of chunks of the stream; 0 if there are none. */
    chunks: z.number().int().nonnegative(),
    usage: Usage,
    queueMs: z.number().nonnegative(),
    serviceMs: z.number().nonnegative(),
    /** Whether the output is the stored result of an earlier run with the same idempotency key. */
    replayed: z.boolean(),
  }),
  /** The attempt did not run and never will. */
  FrameBase.extend({
    type: z.literal('refused'),
    reason: RefusalReason,
    message: z.string(),
    /** Content of the claim row, for reason `claimed`. */
    claim: Claim.optional(),
    retryAfterMs: z.number().nonnegative().optional(),
  }),
  /** The attempt was handed to the backend server, which returned no result. */
  FrameBase.extend({
    type: z.literal('failed'),
    /** `ran`: it ran and failed; `unknown`: it may have run, wholly or in part. */
    outcome: z.enum(['ran', 'unknown']),
    message: z.string(),
    usage: Usage,
  }),
]);
export type Frame = z.infer<typeof Frame>;

/** Response to `attempt.status`, `attempt.void` and `attempt.cancel`. */
export const AttemptStatus = z.object({
  incarnation: z.string(),
  state: z.enum([
    /** Never received by this incarnation, and not voided. */
    'unknown',
    'waiting',
    /** The claim is being requested, or the attempt is claimed and waits for a free slot. */
    'claiming',
    'running',
    'finished',
    'failed',
    /** Did not run and never will. */
    'voided',
  ]),
});
export type AttemptStatus = z.infer<typeof AttemptStatus>;
