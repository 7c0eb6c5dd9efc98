/** Services of the agent, as interfaces. */
import type { Attempt } from '../common/protocol/Attempt.js';
import type { Claim } from '../common/protocol/Claim.js';
import type { LedgerEntry } from '../common/protocol/Ledger.js';
import type { Chunk, ClaimEnd, ClaimTarget, RunEnd } from '../common/gate/Types.js';

/** Names the agent and this run of its process. */
export interface AgentIdentity {
  readonly agentId: string;
  /** Random id made at the start of the process. */
  readonly incarnation: string;
  /** `ip:port` of the agent's server, known once it listens. */
  address: string;
}

/** Request for a claim row. */
export interface ClaimRequest {
  /** Key of the row. */
  readonly key: string;
  /** Content of the row, state `claimed`. */
  readonly claim: Claim;
  /** Claim that may be replaced, as the entry established. */
  readonly replaces?: Claim;
  /** Monotonic time after which the request is given up. */
  readonly deadline: number;
}

/** Writes and reads claim rows. */
export interface ClaimStore {
  /** Tries to get the row; never rejects. */
  acquire(request: ClaimRequest): Promise<ClaimEnd>;
  /**
   * Brings a row of this holder into its final state. Repeats until it is written or another holder
   * has the row.
   * @returns true if the row has the state
   */
  settle(key: string, claim: Claim, target: ClaimTarget, output?: string): Promise<boolean>;
  /** @returns output stored by this holder, or null. */
  replay(key: string, claim: Claim): Promise<string | null>;
}

/** One run on the backend server. */
export interface BackendCall {
  readonly attempt: Attempt;
  readonly signal: AbortSignal;
  /** @returns number of the next chunk wanted */
  nextOffset(): number;
  /** @returns false if chunks are missing before this one */
  append(offset: number, chunk: Chunk): boolean;
}

/** Backend server as the gate uses it. */
export interface Backend {
  /** Hands an attempt to the backend server; never rejects. */
  run(call: BackendCall): Promise<RunEnd>;
}

/** Takes usage for the ledger. */
export interface UsageLedger {
  record(entry: LedgerEntry): void;
}
