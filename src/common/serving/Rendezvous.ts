/** Rendezvous hashing: every process ranks the same candidates alike without agreement. */
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;

/** A candidate with its share of keys. */
export interface WeightedCandidate {
  readonly id: string;
  /** Relative share of keys; above 0. */
  readonly weight: number;
}

/**
 * Ranks candidates for a key. A candidate that comes or goes changes the order of no others.
 * @param candidates - candidates with unique ids
 * @param key - what is assigned
 * @returns candidates, best first
 */
export function rankByHash<T extends WeightedCandidate>(
  candidates: readonly T[],
  key: string,
): T[] {
  return candidates
    .map((candidate) => ({ candidate, score: scoreOf(candidate, key) }))
    .sort((left, right) => right.score - left.score)
    .map(({ candidate }) => candidate);
}

function scoreOf({ id, weight }: WeightedCandidate, key: string): number {
  const fraction = (murmurhash.v3(`${key}/${id}`) + 1) / (HASH_RANGE + 1);
  return -weight / Math.log(fraction);
}
