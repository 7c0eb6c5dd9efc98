/**
 * Types of the attempt state machine: states and outcomes, options, and effects that the owner of
 * the state machine executes.
 */
import type { RefusalReason } from '../protocol/Attempt.js';
import type { Claim } from '../protocol/Claim.js';
import type { Usage, UsageClass } from '../protocol/Usage.js';
import type { AttemptRecord } from './AttemptRecord.js';

/** A part of streamed output, with its number of tokens. */
export interface Chunk {
  readonly text: string;
  readonly tokens: number;
}

/** The attempt did not run on this agent and never will. */
export interface Refusal {
  readonly type: 'refused';
  readonly reason: RefusalReason;
  readonly message: string;
  readonly claim?: Claim;
  readonly retryAfterMs?: number;
}

/** The backend server returned a result, or the stored result of an earlier run was replayed. */
export interface Success {
  readonly type: 'result';
  /** JSON text of the output. */
  readonly output: string;
  /** Length of the output in UTF-8 bytes. */
  readonly length: number;
  /** SHA-256 of the output, hexadecimal. */
  readonly digest: string;
  readonly usage: Usage;
  /** Time from arrival to the start of the run, in milliseconds. */
  readonly queueMs: number;
  /** Duration of the run, in milliseconds. */
  readonly serviceMs: number;
  /** Whether the output is the stored result of an earlier run. */
  readonly replayed: boolean;
}

/** The attempt was handed to the backend server, which returned no result. */
export interface Failure {
  readonly type: 'failed';
  /** `ran`: it ran and failed; `unknown`: it may have run, wholly or in part. */
  readonly outcome: 'ran' | 'unknown';
  readonly message: string;
  readonly usage: Usage;
}

/** How an attempt ended. */
export type AttemptOutcome = Refusal | Success | Failure;

/**
 * State of an attempt. `ready` means that the attempt is claimed and waits for a free slot.
 * `finished`, `failed` and `voided` are final.
 */
export type AttemptState =
  'waiting' | 'claiming' | 'ready' | 'running' | 'finished' | 'failed' | 'voided';

/** How a run on the backend server ended. */
export type RunResult =
  | { readonly kind: 'done'; readonly output: string; readonly usage: Usage }
  /** No byte of the call reached the backend server. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** The backend server answered with an error, or this agent aborted the run. */
  | { readonly kind: 'failed'; readonly message: string; readonly usage: Usage }
  /** The call was sent, but no complete answer was received. */
  | { readonly kind: 'lost'; readonly message: string; readonly usage: Usage };

/** How the request for a claim ended. */
export type ClaimResult =
  /** The row is committed and names this attempt, agent and incarnation. */
  | { readonly kind: 'acquired' }
  /** An earlier run stored its result. */
  | { readonly kind: 'replay'; readonly output: string }
  /** Another holder owns the row. */
  | { readonly kind: 'claimed'; readonly claim: Claim }
  /** The idempotency key was used with another input. */
  | { readonly kind: 'key-reused'; readonly claim: Claim }
  /** This holder released the claim earlier and must not acquire it again. */
  | { readonly kind: 'given-up' }
  /** This holder's earlier run has an unknown outcome. */
  | { readonly kind: 'outcome-unknown' }
  /**
   * The store did not answer. With `mayExist` the row may be committed, now or later, and has to be
   * voided.
   */
  | { readonly kind: 'unavailable'; readonly message: string; readonly mayExist: boolean };

/** Final state to which a claim row of this holder has to be set. */
export type ClaimTarget = 'done' | 'void' | 'unknown';

/** Side effect that the owner of the attempt state machine has to execute. */
export type AttemptEffect =
  /** Request the claim row of a non-idempotent attempt. */
  | { readonly kind: 'claim'; readonly record: AttemptRecord }
  /** Read the stored result of an attempt that this incarnation ran and released. */
  | { readonly kind: 'replay'; readonly record: AttemptRecord }
  /** Hand the attempt to the backend server. */
  | { readonly kind: 'run'; readonly record: AttemptRecord }
  /** Abort the call to the backend server. */
  | { readonly kind: 'abort'; readonly record: AttemptRecord; readonly reason: string }
  /** Set the claim row to its final state. */
  | { readonly kind: 'settle-claim'; readonly record: AttemptRecord; readonly target: ClaimTarget }
  /** Record the attempt's usage in the ledger. */
  | { readonly kind: 'meter'; readonly record: AttemptRecord; readonly usageClass: UsageClass }
  /** Notification: the attempt has reached a final state. */
  | { readonly kind: 'ended'; readonly record: AttemptRecord };

/** Options of the attempt state machine. */
export interface AttemptStateMachineOptions {
  /** Maximum number of concurrent runs on the backend server. */
  readonly slots: number;
  /** Maximum number of attempts in the queue; further ones are refused. */
  readonly maxWaiting: number;
  /** Retention of results and of the ids of ended attempts, in milliseconds. */
  readonly retentionMs: number;
}
