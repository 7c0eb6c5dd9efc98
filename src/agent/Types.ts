/** Interfaces of the agent's services. */
import type { Attempt } from '../common/protocol/Attempt.js';
import type { Claim } from '../common/protocol/Claim.js';
import type { LedgerEntry } from '../common/protocol/Ledger.js';
import type { Chunk, ClaimResult, ClaimTarget, RunResult } from '../common/attempts/Types.js';

/** Identifies the agent and one run of its process. */
export interface AgentIdentity {
  readonly agentId: string;
  /** Random id, generated at process start. */
  readonly incarnation: string;
  /** `ip:port` of the agent's server, known once it listens. */
  address: string;
}

/** Request for a claim row. */
export interface ClaimRequest {
  /** Row key in the claim table. */
  readonly key: string;
  /** Value to write, in state `claimed`. */
  readonly claim: Claim;
  /** Existing claim that may be replaced because the entry has settled it. */
  readonly replaces?: Claim;
  /** Monotonic time, in ms, after which the request is abandoned. */
  readonly deadline: number;
}

/** Writes and reads claim rows. */
export interface ClaimStore {
  /** Tries to acquire the row. Never rejects. */
  acquire(request: ClaimRequest): Promise<ClaimResult>;
  /**
   * Writes the final state of a row of this holder. Retries until the state is written or another
   * holder has the row.
   * @param key - row key in the claim table
   * @param claim - claim of this holder
   * @param target - final state
   * @param output - JSON text of the result, for state `done`
   * @returns true if the row has the final state
   */
  settle(key: string, claim: Claim, target: ClaimTarget, output?: string): Promise<boolean>;
  /**
   * Reads the result of an earlier run.
   * @returns stored output, or null if there is none for this input or it could not be read
   */
  replay(key: string, claim: Claim): Promise<string | null>;
}

/** One run on the backend server. */
export interface BackendCall {
  readonly attempt: Attempt;
  readonly signal: AbortSignal;
  /** @returns offset of the next chunk to append */
  nextOffset(): number;
  /** @returns false if chunks are missing before this one */
  append(offset: number, chunk: Chunk): boolean;
}

/** Runs attempts on a backend server. */
export interface Backend {
  /** Runs an attempt on the backend server. Never rejects. */
  run(call: BackendCall): Promise<RunResult>;
}

/** Records usage for the ledger. */
export interface UsageLedger {
  record(entry: LedgerEntry): void;
}
