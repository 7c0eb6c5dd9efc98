/** Tasks, calls and outcomes of the stage services. */
import type { ServerStatements } from './ServerStatements.js';
import type { BackendServer } from './ServingConfiguration.js';

/** Returns whether the given number of pieces may be sent again. */
export type RetryPermission = (pieces: number) => boolean;

/** Limits on the calls to each server, and its pauses. */
export type CallLimits = Pick<ServerStatements, 'mayRequest' | 'requestsPerS' | 'pauseMs'>;

/** All pieces of one stage of one request. They succeed or fail together. */
export interface StageTask {
  readonly attemptId: string;
  /** Index of the stage in the route. */
  readonly stage: number;
  /** Number of pieces. */
  readonly pieces: number;
  /** Input of the stage if it reads no results. */
  readonly key?: string;
  /** Handles of the results that every piece reads. */
  readonly inputs: readonly string[];
  /** Approximate size of the result of one piece, in bytes. */
  readonly resultBytes: number;
  /** Total size of the inputs, in bytes. */
  readonly inputBytes: number;
  /** Identifies the request when its caller repeats it; absent if a peer did not say. */
  readonly fingerprint?: string;
  /** Kind of work; pieces of the same kind take about the same time. */
  readonly work: string;
  /** Failure domain in which transfers of inputs or results cost least; absent if negligible. */
  readonly preferredDomain?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time by which the stage has to end to meet the request's objective, on the clock, in ms. */
  readonly dueAt: number;
  /** Time after which the results are no longer needed, on the clock, in ms. */
  readonly expiresAt: number;
}

/** Reference to one piece of a task. */
export interface PieceReference {
  readonly taskId: number;
  readonly task: StageTask;
  /** Index of the piece in the task. */
  readonly piece: number;
}

/** A call to send now. */
export interface PlannedCall {
  readonly callId: number;
  readonly server: BackendServer;
  readonly pieces: readonly PieceReference[];
  /** Expected duration, in ms. */
  readonly expectedMs: number;
}

/**
 * Outcome of one piece, as reported by the backend server. `made`: the result is stored under the
 * handle. `late`: the deadline passed first. `input-gone`: an input is no longer stored. `no-room`:
 * the server has no memory for the result.
 */
export type PieceOutcome =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'late' | 'input-gone' | 'no-room' | 'failed' };

/** How a call ended. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly pieces: readonly PieceOutcome[] }
  /** The server refused the call, as it is at capacity. */
  | { readonly kind: 'not-executed' }
  /** No byte of the call was sent. */
  | { readonly kind: 'unsent' }
  /** The call failed after it was sent; the server may have run it. */
  | { readonly kind: 'broken' };

/** How a task ended. */
export type TaskOutcome =
  | { readonly kind: 'done'; readonly handles: readonly string[] }
  | { readonly kind: 'expired' | 'input-gone' | 'failed' };

/** A task that ended. */
export interface EndedTask {
  readonly taskId: number;
  readonly outcome: TaskOutcome;
}

/** A task without results for all its pieces. */
export interface QueuedTask {
  readonly taskId: number;
  readonly task: StageTask;
  /** Pieces that have no result and are not part of a call in progress. */
  readonly unassignedPieces: Set<number>;
  /** Handles of the results, by piece. */
  readonly handles: Map<number, string>;
  /** On the clock, in ms. */
  readonly addedAt: number;
  /** Failed sends, summed over the pieces. */
  failures: number;
}
