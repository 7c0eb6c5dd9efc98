/** Runs a proof and creates its report. */
import { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Variant } from '../launch/Types.js';
import { PROOFS } from './Proofs.js';
import type { ProofOutcome, ProofReport } from './Types.js';

const MAX_EXAMPLES = 5;

/** Options of a proof run. */
export interface ProveOptions {
  /** Name of the proof. */
  readonly promise: string;
  readonly seed: number;
  /** Length of the phase with faults. */
  readonly seconds: number;
  readonly variant: Variant;
  /** Whether to keep settings and logs of the processes; false by default. */
  readonly keepFolder?: boolean;
}

/**
 * Runs a proof.
 * @param options - name, seed, length and variant
 * @param progress - called with progress lines
 * @returns report, and whether no violation was found and every fault occurred
 * @throws Error if there is no such proof or the cluster does not start
 */
export async function prove(
  options: ProveOptions,
  progress: (message: string) => void = () => undefined,
): Promise<{ report: ProofReport; passed: boolean }> {
  const { promise, seed, seconds, variant } = options;
  const proof = PROOFS[promise];
  if (!proof) throw new Error(`no proof is named "${promise}"`);
  const random = new SeededRandom(seed);
  const keepFolder = options.keepFolder ?? false;
  const outcome = await proof.run({ seed, seconds, variant, random, keepFolder, progress });
  return { report: reportOf(promise, seed, outcome), passed: hasPassed(outcome) };
}

function reportOf(promise: string, seed: number, outcome: ProofOutcome): ProofReport {
  return {
    promise,
    seed,
    requests: outcome.requests,
    faults: outcome.faults,
    violations: outcome.violations.length,
    examples: outcome.violations.slice(0, MAX_EXAMPLES),
    ...outcome.figures,
  };
}

function hasPassed(outcome: ProofOutcome): boolean {
  const everyFaultHappened = Object.values(outcome.faults).every((count) => count > 0);
  return outcome.violations.length === 0 && everyFaultHappened;
}
