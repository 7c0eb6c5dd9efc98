/** Proofs of promises: real processes under faults, judged by what the stand-ins counted. */
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Variant } from '../launch/Types.js';

/** What a proof is run with. */
export interface ProofContext {
  readonly seed: number;
  /** Length of the phase with faults, in seconds. */
  readonly seconds: number;
  readonly variant: Variant;
  readonly random: SeededRandom;
  /** Keeps settings and logs of the processes. */
  readonly keepFolder: boolean;
  /** Writes a line of progress to standard error. */
  readonly progress: (message: string) => void;
}

/** What a proof found. */
export interface ProofOutcome {
  readonly requests: number;
  /** How often each fault really happened; a count of 0 fails the proof. */
  readonly faults: Readonly<Record<string, number>>;
  /** One text for each violation of the promise. */
  readonly violations: readonly string[];
  /** Further figures of the report. */
  readonly figures?: Readonly<Record<string, number>>;
}

/** One promise and how it is put to proof. */
export interface Proof {
  readonly description: string;
  /** Set if the baseline lacks what the promise is about. */
  readonly hasNoBaseline?: boolean;
  readonly run: (context: ProofContext) => Promise<ProofOutcome>;
}

/** Last line of the output of `prove`. */
export interface ProofReport {
  readonly promise: string;
  readonly seed: number;
  readonly requests: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: number;
  /** The first few violations. */
  readonly examples: readonly string[];
}
