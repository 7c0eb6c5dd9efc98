/** Types of the gate: attempt outcomes, options and the effects that the gate asks its owner to carry out. */
import type { RefusalReason } from '../protocol/Attempt.js';
import type { Claim } from '../protocol/Claim.js';
import type { Usage, UsageClass } from '../protocol/Usage.js';
import type { GateEntry } from './GateEntry.js';

/** A piece of streamed output. */
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

/** The backend server gave a result, or an earlier run under the same key did. */
export interface Success {
  readonly type: 'result';
  /** JSON text of the output. */
  readonly output: string;
  /** Length of the output in UTF-8 bytes. */
  readonly length: number;
  /** SHA-256 of the output, hexadecimal. */
  readonly digest: string;
  readonly usage: Usage;
  readonly queueMs: number;
  readonly serviceMs: number;
  readonly replayed: boolean;
}

/** The attempt was handed to the backend server and gave no result. */
export interface Failure {
  readonly type: 'failed';
  readonly outcome: 'ran' | 'unknown';
  readonly message: string;
  readonly usage: Usage;
}

/** How an attempt ended. */
export type Outcome = Refusal | Success | Failure;

/**
 * State of an attempt. `ready` is claimed and waits for a free slot.
 * `finished`, `failed` and `voided` are final.
 */
export type AttemptState =
  'waiting' | 'claiming' | 'ready' | 'running' | 'finished' | 'failed' | 'voided';

/** How a run on the backend server ended. */
export type RunEnd =
  | { readonly kind: 'done'; readonly output: string; readonly usage: Usage }
  /** No byte of the call reached the backend server. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** The backend server answered with an error, or the run was stopped by this agent. */
  | { readonly kind: 'failed'; readonly message: string; readonly usage: Usage }
  /** The call was sent and no complete answer came. */
  | { readonly kind: 'lost'; readonly message: string; readonly usage: Usage };

/** What became of the request for a claim. */
export type ClaimEnd =
  /** The row is committed and names this attempt, agent and incarnation. */
  | { readonly kind: 'acquired' }
  /** An earlier run stored its result. */
  | { readonly kind: 'replay'; readonly output: string }
  /** Another holder has the row. */
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'key-reused'; readonly claim: Claim }
  /** This holder gave the claim up earlier and must not take it again. */
  | { readonly kind: 'given-up' }
  /** This holder's earlier run has an unknown outcome. */
  | { readonly kind: 'outcome-unknown' }
  /**
   * The store gave no answer. With `mayExist` the row may be committed, now or later, and has to be
   * made void.
   */
  | { readonly kind: 'unavailable'; readonly message: string; readonly mayExist: boolean };

/** Final state that a claim row of this holder has to reach. */
export type ClaimTarget = 'done' | 'void' | 'unknown';

/** What the owner of the gate has to do. */
export type GateEffect =
  | { readonly kind: 'claim'; readonly entry: GateEntry }
  /** Read the stored result of an attempt that this incarnation ran and released. */
  | { readonly kind: 'replay'; readonly entry: GateEntry }
  | { readonly kind: 'run'; readonly entry: GateEntry }
  | { readonly kind: 'abort'; readonly entry: GateEntry; readonly reason: string }
  | { readonly kind: 'settle-claim'; readonly entry: GateEntry; readonly target: ClaimTarget }
  | { readonly kind: 'meter'; readonly entry: GateEntry; readonly usageClass: UsageClass }
  /** The attempt reached a final state. */
  | { readonly kind: 'ended'; readonly entry: GateEntry };

/** Options of the gate. */
export interface GateOptions {
  /** Concurrent runs that the backend server takes. */
  readonly slots: number;
  /** Attempts that may wait; more are refused. */
  readonly maxWaiting: number;
  /** Time that results and the ids of ended attempts are kept, in milliseconds. */
  readonly retentionMs: number;
}
