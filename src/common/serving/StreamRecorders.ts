import { rankByHash } from './RendezvousHashing.js';

/** Processes that store the streams of all, so that the failure of one or two of them loses none. */
const RECORDERS = 3;

/** A process that may store the streams of all. */
export interface RecorderCandidate {
  readonly id: string;
  readonly isLeaving: boolean;
}

/**
 * Chooses the processes that store the streams of all, since the store charges for each call: the
 * calls do not grow with the fleet. All processes choose the same ones without coordination; while
 * their views differ, more of them store the same streams.
 * @param candidates - live processes
 * @returns ids of the chosen ones
 */
export function chooseStreamRecorders(candidates: readonly RecorderCandidate[]): string[] {
  const staying = candidates.filter(({ isLeaving }) => !isLeaving);
  const ranked = rankByHash(
    (staying.length > 0 ? staying : candidates).map(({ id }) => ({ id, weight: 1 })),
    'streams',
  );
  return ranked.slice(0, RECORDERS).map(({ id }) => id);
}
