/**
 * Weighted rendezvous hashing: all processes rank the same candidates in the same order without
 * coordination.
 */
import murmurhash from 'murmurhash';

const HASH_RANGE = 2 ** 32;

/** A candidate with its relative share of the keys. */
export interface WeightedCandidate {
  readonly id: string;
  /** Relative share of keys; greater than 0. */
  readonly weight: number;
}

/**
 * Ranks candidates for a key. Adding or removing a candidate does not change the relative order of
 * the others.
 * @param candidates - candidates with unique ids
 * @param key - key to assign
 * @returns candidates, highest score first
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
