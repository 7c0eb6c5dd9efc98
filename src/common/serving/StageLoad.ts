/** Load of a stage service as its batching process tells the others. */
import { z } from 'zod';

/** Waiting and arriving pieces of one priority. */
const PriorityLoad = z.object({
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Waiting pieces of tasks that can still end by their due time. */
  onTimePieces: z.number().min(0),
  /** Mean number of pieces that arrive per ms. */
  arrivalsPerMs: z.number().min(0),
});

/** Maximum number of priorities that are told apart; the least urgent ones beyond it count as one. */
export const MAX_PRIORITIES = 10;

/**
 * @param priority - priority of a task; 0 is the most urgent
 * @returns the priority as which it is counted
 */
export function countedPriority(priority: number): number {
  return Math.min(MAX_PRIORITIES - 1, Math.max(0, Math.floor(priority)));
}

export const StageLoad = z.object({
  /** Pieces that the servers start per ms while pieces wait. */
  piecesPerMs: z.number().min(0),
  /** Waiting pieces of tasks that can no longer end by their due time. */
  latePieces: z.number().min(0),
  /** Most urgent first. */
  priorities: z.array(PriorityLoad).max(MAX_PRIORITIES),
});
export type StageLoad = z.infer<typeof StageLoad>;

/**
 * Share of the servers that is always assumed to be left for a task. Bursts end: while they last,
 * arrivals alone would let tasks that can wait for seconds look hopeless.
 */
const MIN_FREE_SHARE = 0.25;

/**
 * Estimates how long a new task waits. Tasks that can end by their due time run before those that
 * cannot, and more urgent ones that arrive meanwhile run before it.
 * @param load - load of the service
 * @param priority - priority of the task; 0 is the most urgent
 * @param isOnTime - whether the task can still end by its due time
 * @returns time until the task starts, in ms; Infinity if no server runs anything
 */
export function expectedWaitMs(load: StageLoad, priority: number, isOnTime: boolean): number {
  const { piecesPerMs, latePieces, priorities } = load;
  const own = countedPriority(priority);
  let ahead = isOnTime ? 0 : latePieces;
  let arrivalsPerMs = 0;
  priorities.forEach((other) => {
    if (!isOnTime || other.priority <= own) ahead += other.onTimePieces;
    if (!isOnTime || other.priority < own) arrivalsPerMs += other.arrivalsPerMs;
  });
  if (ahead === 0) return 0;
  if (piecesPerMs === 0) return Infinity;
  const freeShare = Math.max(MIN_FREE_SHARE, 1 - arrivalsPerMs / piecesPerMs);
  return ahead / (piecesPerMs * freeShare);
}
