/** Runs one proof and reports it. */
import { SeededRandom } from '../../common/time/SeededRandom.js';
import type { Variant } from '../launch/Types.js';
import { PROOFS } from './Proofs.js';
import type { ProofOutcome, ProofReport } from './Types.js';

const MAX_EXAMPLES = 5;

/** Options of a proof run. */
export interface ProveOptions {
  readonly promise: string;
  readonly seed: number;
  readonly seconds: number;
  readonly variant: Variant;
  readonly keepFolder?: boolean;
}

/**
 * Runs a proof.
 * @param options - promise, seed, length
 * @param progress - gets lines of progress
 * @returns report, and whether there was no violation and every fault happened
 * @throws Error if there is no such promise or the cluster does not start
 */
export async function prove(
  options: ProveOptions,
  progress: (message: string) => void = () => undefined,
): Promise<{ report: ProofReport; passed: boolean }> {
  const { promise, seed, seconds, variant } = options;
  const proof = PROOFS[promise];
  if (!proof) throw new Error(`no promise is called ${promise}`);
  const random = new SeededRandom(seed);
  const keepFolder = options.keepFolder ?? false;
  const outcome = await proof.run({ seed, seconds, variant, random, keepFolder, progress });
  return { report: reportOf(promise, seed, outcome), passed: isPassed(outcome) };
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

function isPassed(outcome: ProofOutcome): boolean {
  const everyFaultHappened = Object.values(outcome.faults).every((count) => count > 0);
  return outcome.violations.length === 0 && everyFaultHappened;
}
