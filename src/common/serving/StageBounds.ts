/** Bounds of what a stage service can make, and of what waits for it. */
import type { StageCapacity } from './ServingConfiguration.js';
import type { QueuedTask } from './Types.js';

/** Most pieces of the tasks of one queue. Each of them takes memory while its task waits or runs. */
export const MAX_HELD_PIECES = 100_000;

/**
 * Number of calls that have to follow each other to make the pieces of a task, if all servers run
 * nothing else. The time of a call without that of its pieces, which is known only approximately,
 * times this number is the shortest time that the task can take.
 * @param pieces - number of pieces
 * @param servers - number of servers
 * @param capacity - capacity of each one
 * @returns number of calls, 0 for no pieces
 */
export function successiveCalls(
  pieces: number,
  servers: number,
  { batchSize, concurrentCalls }: Pick<StageCapacity, 'batchSize' | 'concurrentCalls'>,
): number {
  return Math.ceil(pieces / (batchSize * concurrentCalls * Math.max(1, servers)));
}

/**
 * Chooses the tasks that are evicted for another one: those with the most pieces, and only ones that
 * have more than it, so that requests of the usual size are served beside huge ones.
 * @param tasks - tasks of the queue
 * @param pieces - number of pieces of the other one
 * @returns tasks to evict; undefined if there is no room for it even so
 */
export function tasksToEvict(
  tasks: Iterable<QueuedTask>,
  pieces: number,
): readonly QueuedTask[] | undefined {
  const all = [...tasks];
  let excess = all.reduce((sum, { task }) => sum + task.pieces, pieces) - MAX_HELD_PIECES;
  const larger = all
    .filter(({ task }) => task.pieces > pieces)
    .sort((left, right) => right.task.pieces - left.task.pieces);
  const evicted = larger.filter(({ task }) => {
    if (excess <= 0) return false;
    excess -= task.pieces;
    return true;
  });
  return excess <= 0 ? evicted : undefined;
}
