/** Messages between entry and agent: the attempt sent by the entry and the frames of its answer stream. */
import { z } from 'zod';
import { Claim } from './Claim.js';
import { Usage } from './Usage.js';

/** Path on the agent that takes an {@link Attempt} and answers with a stream of {@link Frame} lines. */
export const ATTEMPT_PATH = '/v1/attempts';

/** Interval between heartbeat frames of a running attempt, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Silence on an attempt stream after which the entry sends the attempt again on a new connection. */
export const SILENCE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS;

/** Kinds of stages; each has its own backend protocol. */
export const StageKind = z.enum(['encode', 'retrieve', 'rerank', 'generate', 'call']);
export type StageKind = z.infer<typeof StageKind>;

/** Knowledge of the configuration that every dispatch and answer carries. */
export const RevisionNotice = z.object({
  /** Highest revision known. */
  revision: z.number().int().nonnegative(),
  /** Milliseconds since the store last confirmed this revision as the newest; null if never. */
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
  /** Stage input after references were resolved. Its shape follows from `kind`. */
  input: z.unknown(),
  /** Time left until the request's deadline, in milliseconds, when the attempt was sent. */
  remainingMs: z.number(),
  idempotent: z.boolean(),
  /** Required for attempts that are not idempotent. */
  idempotencyKey: z.string().min(1).max(256).optional(),
  /** Holder of an existing claim that this attempt may replace, settled before by the entry. */
  replacesClaim: Claim.optional(),
  /** Weight of the account in the queue: share of spend times priority weight. */
  weight: z.number().positive(),
  /** Larger is more urgent; passed to engines that honour priorities. */
  priority: z.number().int().min(0).max(9),
  /** True if the attempt is a hedge or a retry; its usage counts as overhead if it loses. */
  hedge: z.boolean(),
  /** Next chunk offset wanted; 0 for a new attempt. */
  resumeFrom: z.number().int().nonnegative(),
  /** Revision that admitted the request. */
  pinnedRevision: z.number().int().nonnegative(),
  notice: RevisionNotice,
  /** `ip:port` of the sending entry, from which the agent may pull configuration changes. */
  sender: z.string().optional(),
  /** W3C trace context of the sending span. */
  traceparent: z.string().optional(),
});
export type Attempt = z.infer<typeof Attempt>;

/**
 * Load of a backend server as its agent sees it, carried on every frame but chunks. Fields at their
 * default are left out.
 */
export const Load = z.object({
  /** Concurrent runs that the backend server takes. */
  slots: z.number().int().positive(),
  running: z.number().int().nonnegative(),
  waiting: z.number().int().nonnegative().default(0),
  /** Expected queueing time of a new attempt, in milliseconds. */
  waitMs: z.number().nonnegative().default(0),
  draining: z.boolean().default(false),
});
export type Load = z.infer<typeof Load>;

/** Reasons of a refusal. In every one of them this attempt did not run and never will. */
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
  /** No connection to the backend server could be made; the call was not sent. */
  'backend-unavailable',
  'invalid',
]);
export type RefusalReason = z.infer<typeof RefusalReason>;

const FrameIdentity = z.object({
  attemptId: z.string(),
  /** Random id made at each start of the agent process. */
  incarnation: z.string(),
});

const FrameBase = FrameIdentity.extend({ notice: RevisionNotice, load: Load });

/** One line of the answer stream. `result`, `refused` and `failed` are final. */
export const Frame = z.discriminatedUnion('type', [
  FrameBase.extend({ type: z.literal('accepted') }),
  FrameBase.extend({ type: z.literal('heartbeat') }),
  /**
   * Generated text; `offset` counts chunks from 0. Chunks come for every token, so they carry no
   * notice and no load; the other frames bring both.
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
    /** JSON text of the output; `length` and `digest` are of its UTF-8 bytes. */
    output: z.string(),
    length: z.number().int().nonnegative(),
    /** SHA-256, hexadecimal. */
    digest: z.string(),
    /** Number of chunks of the stream, 0 if none. */
    chunks: z.number().int().nonnegative(),
    usage: Usage,
    queueMs: z.number().nonnegative(),
    serviceMs: z.number().nonnegative(),
    /** True if the output was stored by an earlier run under the same idempotency key. */
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
  /** The attempt was handed to the backend server and gave no result. */
  FrameBase.extend({
    type: z.literal('failed'),
    /** `ran`: it ran and failed; `unknown`: it may have run, wholly or in part. */
    outcome: z.enum(['ran', 'unknown']),
    message: z.string(),
    usage: Usage,
  }),
]);
export type Frame = z.infer<typeof Frame>;

/** Answer to `attempt.status`, `attempt.void` and `attempt.cancel`. */
export const AttemptStatus = z.object({
  incarnation: z.string(),
  state: z.enum([
    /** Never received by this incarnation, and not voided. */
    'unknown',
    'waiting',
    /** Claim insert in progress. */
    'claiming',
    'running',
    'finished',
    'failed',
    /** Did not run and never will. */
    'voided',
  ]),
});
export type AttemptStatus = z.infer<typeof AttemptStatus>;
