/** Interfaces between the parts of the entry. */
import type { Attempt, AttemptStatus, Frame, Load } from '../common/protocol/Attempt.js';
import type { CallerErrorKind, Outcome } from '../common/protocol/CallerError.js';
import type { Account, Stage } from '../common/protocol/Configuration.js';
import type { Acknowledgement, Decision } from '../common/protocol/Control.js';
import type { LedgerEntry } from '../common/protocol/Ledger.js';
import type { Usage } from '../common/protocol/Usage.js';

/** Final frames of an attempt by type. */
export type ResultFrame = Extract<Frame, { type: 'result' }>;
export type RefusedFrame = Extract<Frame, { type: 'refused' }>;
export type FailedFrame = Extract<Frame, { type: 'failed' }>;

/** The part of an attempt that stays the same when it is sent again. */
export type AttemptContent = Omit<Attempt, 'remainingMs' | 'resumeFrom' | 'notice' | 'sender'>;

/** An attempt and what its answer is checked against. */
export interface AttemptOrder {
  readonly content: AttemptContent;
  /** `ip:port` of the agent. */
  readonly address: string;
  /** Monotonic time of the request's deadline, in ms. */
  readonly deadlineAt: number;
}

/** Takes what an attempt's stream carries before its final frame. */
export interface AttemptListener {
  /** The agent answered; called for every valid frame except chunks. */
  onLoad(load: Load, incarnation: string): void;
  /** Chunks arrive in order, each once. */
  onChunk(offset: number, text: string): void;
  /** A new incarnation runs the attempt again: chunks start again at offset 0. */
  onRestart(): void;
  /** The attempt is sent again on a new connection. */
  onResend(reason: string): void;
}

/**
 * How following an attempt ended.
 * - `not-sent`: no connection could be made, so the agent never received it.
 * - `lost`: the agent may have received it and can't be reached.
 * - `stopped`: the signal fired; the agent may still hold the attempt.
 */
export type AttemptEnd =
  | { readonly kind: 'result'; readonly frame: ResultFrame }
  | { readonly kind: 'refused'; readonly frame: RefusedFrame }
  | { readonly kind: 'failed'; readonly frame: FailedFrame }
  | { readonly kind: 'not-sent'; readonly message: string }
  | { readonly kind: 'lost'; readonly message: string }
  | { readonly kind: 'stopped' };

/** Calls of the entry to agents. None of them throws. */
export interface AgentCalls {
  /** Sends an attempt and follows it to its end, over as many connections as needed. */
  run(order: AttemptOrder, listener: AttemptListener, signal: AbortSignal): Promise<AttemptEnd>;
  /** @returns the state, or null if the agent can't be reached in time. */
  status(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  voidAttempt(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  cancel(address: string, attemptId: string, timeoutMs: number): Promise<AttemptStatus | null>;
  /** Queues an acknowledgement; it is sent with others soon after. */
  acknowledge(address: string, acknowledgement: Acknowledgement): void;
}

/** Spans of one attempt. */
export interface AttemptTrace {
  /** W3C trace context for the agent. */
  readonly traceparent: string | undefined;
  firstChunk(): void;
  end(outcome: string): void;
}

/** What all stages of one request share. */
export interface RequestContext {
  readonly requestId: string;
  readonly account: Account;
  readonly template: string;
  readonly idempotencyKey: string | undefined;
  /** Monotonic time of the deadline, in ms. */
  readonly deadlineAt: number;
  readonly pinnedRevision: number;
  /** Weight of the account in agents' queues. */
  readonly weight: number;
  /** Fires when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Starts the spans of an attempt. */
  traceAttempt(stage: string, agentId: string): AttemptTrace;
  /** Notes a decision for the explanation of the request. */
  decide(stage: string | null, action: Decision['action'], reason: string): void;
}

/** One stage of a request, ready to run. */
export interface StageTask {
  readonly context: RequestContext;
  readonly stage: Stage;
  readonly input: Record<string, unknown>;
  /** Takes generated text; a further attempt starts again at offset 0. */
  readonly onChunk: (offset: number, text: string) => void;
}

/** What the caller is told about a request that gave no result. */
export interface Failure {
  readonly kind: CallerErrorKind;
  readonly message: string;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number;
}

/** Result of one stage. */
export interface StageResult {
  readonly stage: string;
  readonly output: unknown;
  readonly usage: Usage;
  readonly replayed: boolean;
}

/** How a stage ended; `outcome` of a failure is about this stage alone. */
export type StageEnd =
  | { readonly ok: true; readonly result: StageResult }
  | { readonly ok: false; readonly failure: Failure };

/** Runs single stages. */
export interface StageExecutor {
  run(task: StageTask): Promise<StageEnd>;
}

/** How a request ended. */
export type RequestEnd =
  | { readonly ok: true; readonly output: unknown; readonly stages: readonly StageResult[] }
  | { readonly ok: false; readonly failure: Failure };

/** Counts usage for the ledger. */
export interface UsageRecorder {
  record(entry: LedgerEntry): void;
  flush(): Promise<unknown>;
  dispose(): void;
}

/** Why a request was abandoned; the reason of the request's abort signal. */
export type AbandonReason = 'caller-gone' | 'deadline';
