import type { PieceOutcome } from './Types.js';

/**
 * @param outcomes - outcomes of the pieces of a call
 * @returns number of pieces by outcome
 */
export function countOutcomes(outcomes: readonly PieceOutcome[]): Record<string, number> {
  const counts: Record<string, number> = {};
  outcomes.forEach(({ kind }) => {
    counts[kind] = (counts[kind] ?? 0) + 1;
  });
  return counts;
}
