/** Types that the modules of the entry share. */
import type { Attempt, AttemptStatus, Frame, Load } from '../common/protocol/Attempt.js';
import type { CallerErrorKind, RequestOutcome } from '../common/protocol/CallerError.js';
import type { Account, Stage } from '../common/protocol/Configuration.js';
import type { Acknowledgement, Decision } from '../common/protocol/Control.js';
import type { LedgerEntry } from '../common/protocol/Ledger.js';
import type { Usage } from '../common/protocol/Usage.js';

/** Final frames of an attempt, by type. */
export type ResultFrame = Extract<Frame, { type: 'result' }>;
export type RefusedFrame = Extract<Frame, { type: 'refused' }>;
export type FailedFrame = Extract<Frame, { type: 'failed' }>;

/**
 * Fields of an attempt that do not change when it is sent again on a new connection. `notice`, the
 * latest configuration revision known to the sender, may change.
 */
export type AttemptContent = Omit<Attempt, 'remainingMs' | 'resumeFrom' | 'notice' | 'sender'>;

/** An attempt to send to an agent; received frames are validated against `content`. */
export interface OutgoingAttempt {
  readonly content: AttemptContent;
  /** `ip:port` of the agent. */
  readonly address: string;
  /** Monotonic time of the request's deadline, in ms. */
  readonly deadlineAt: number;
}

/** Receives the events of an attempt's frame stream before its final frame. */
export interface AttemptListener {
  /**
   * Called for every valid frame except chunks, with the load that the agent reported and the
   * agent's incarnation: the id of one run of the agent process, which is new at each start.
   */
  onLoadReport(load: Load, incarnation: string): void;
  /** Called once per chunk, in order of offset. */
  onChunk(offset: number, text: string): void;
  /**
   * Called when another incarnation of the agent answers after chunks were received. That
   * incarnation runs the attempt again, so chunks restart at offset 0.
   */
  onRestart(): void;
  /** Called before the attempt is sent again on a new connection. */
  onResend(reason: string): void;
}

/**
 * How the frame stream of an attempt ended.
 * - `not-sent`: the agent did not receive or did not accept the attempt.
 * - `lost`: the agent may have received the attempt, but no final frame could be read.
 * - `stopped`: the abort signal fired; the agent may still be running the attempt.
 */
export type AttemptEnd =
  | { readonly kind: 'result'; readonly frame: ResultFrame }
  | { readonly kind: 'refused'; readonly frame: RefusedFrame }
  | { readonly kind: 'failed'; readonly frame: FailedFrame }
  | { readonly kind: 'not-sent'; readonly message: string }
  | { readonly kind: 'lost'; readonly message: string }
  | { readonly kind: 'stopped' };

/** Calls from the entry to agents. No call rejects; failures are part of the result. */
export interface AgentCalls {
  /** Sends an attempt and reads its frames to the end, reconnecting when a connection breaks. */
  run(
    attempt: OutgoingAttempt,
    listener: AttemptListener,
    signal: AbortSignal,
  ): Promise<AttemptEnd>;
  /** @returns the attempt's state, or null if the agent does not answer within `timeoutMs`. */
  status(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  /**
   * Marks an attempt as void if it has not started; the agent then never runs it. Has no effect on
   * an attempt that has started.
   * @returns the attempt's state, or null if the agent does not answer within `timeoutMs`
   */
  voidAttempt(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  /**
   * Asks the agent to stop an attempt, also if it has started. A non-idempotent attempt that is
   * already running on the backend server is not stopped.
   * @returns the attempt's state, or null if the agent does not answer within `timeoutMs`
   */
  cancel(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  /** Queues an acknowledgement, which is sent in the next batch to the agent. */
  acknowledge(address: string, acknowledgement: Acknowledgement): void;
}

/** Trace spans of one attempt. */
export interface AttemptTrace {
  /** W3C trace context to send to the agent. */
  readonly traceparent: string | undefined;
  recordFirstChunk(): void;
  end(outcome: string): void;
}

/** Data and callbacks that all stages of one request share. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: Account;
  readonly template: string;
  readonly idempotencyKey: string | undefined;
  /** Monotonic time of the deadline, in ms. */
  readonly deadlineAt: number;
  readonly pinnedRevision: number;
  /** Weight of the account in the agents' weighted fair queues. */
  readonly weight: number;
  /** Aborted with an {@link AbortReason} when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Starts the trace spans of an attempt. */
  traceAttempt(stage: string, agentId: string): AttemptTrace;
  /** Adds a decision to the explanation of the request. */
  recordDecision(stage: string | null, action: Decision['action'], reason: string): void;
}

/** One stage of a request with its resolved input. */
export interface StageTask {
  readonly context: RequestContext;
  readonly stage: Stage;
  readonly input: Record<string, unknown>;
  /** Called with each generated chunk; every further attempt restarts at offset 0. */
  readonly onChunk: (offset: number, text: string) => void;
}

/** Error returned to the caller if the request has no result. */
export interface Failure {
  readonly kind: CallerErrorKind;
  readonly message: string;
  readonly outcome: RequestOutcome;
  /** Suggested wait before the caller's next try, in ms. */
  readonly retryAfterMs?: number;
}

/** Output and usage of one stage. */
export interface StageResult {
  readonly stage: string;
  readonly output: unknown;
  readonly usage: Usage;
  /** Whether the output comes from an earlier run under the same idempotency key. */
  readonly replayed: boolean;
}

/** How a stage ended. A failure's `outcome` says whether this stage ran, not whether others did. */
export type StageEnd =
  | { readonly ok: true; readonly result: StageResult }
  | { readonly ok: false; readonly failure: Failure };

/** Runs one stage at a time. */
export interface StageExecutor {
  run(task: StageTask): Promise<StageEnd>;
}

/** How a request ended. */
export type RequestEnd =
  | { readonly ok: true; readonly output: unknown; readonly stages: readonly StageResult[] }
  | { readonly ok: false; readonly failure: Failure };

/** Records usage for the ledger. */
export interface UsageRecorder {
  record(entry: LedgerEntry): void;
  flush(): Promise<unknown>;
  dispose(): void;
}

/** Why a request was aborted; the `reason` of its abort signal. */
export type AbortReason = 'caller-disconnected' | 'deadline';
