/**
 * Types of the proofs. A proof runs real processes under faults and compares their answers with the
 * records of the stand-ins.
 */
import type { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Variant } from '../launch/Types.js';

/** Parameters of a proof run. */
export interface ProofContext {
  readonly seed: number;
  /** Length of the phase with faults, in seconds. */
  readonly seconds: number;
  readonly variant: Variant;
  readonly random: SeededRandom;
  /** Whether to keep settings and logs of the processes. */
  readonly keepFolder: boolean;
  /** Writes a line of progress to standard error. */
  readonly progress: (message: string) => void;
}

/** Findings of a proof. */
export interface ProofOutcome {
  readonly requests: number;
  /** Number of occurrences of each fault; the proof fails if one is 0. */
  readonly faults: Readonly<Record<string, number>>;
  /** Description of each violation of the proven property. */
  readonly violations: readonly string[];
  /** Additional figures of the report. */
  readonly figures?: Readonly<Record<string, number>>;
}

/** A proof of one property of the system. */
export interface Proof {
  readonly description: string;
  /** Whether the naive baseline lacks the feature under test. */
  readonly hasNoBaseline?: boolean;
  readonly run: (context: ProofContext) => Promise<ProofOutcome>;
}

/** Report of a proof; the last output line of `prove`. */
export interface ProofReport {
  readonly promise: string;
  readonly seed: number;
  readonly requests: number;
  readonly faults: Readonly<Record<string, number>>;
  readonly violations: number;
  /** The first few violations. */
  readonly examples: readonly string[];
}
