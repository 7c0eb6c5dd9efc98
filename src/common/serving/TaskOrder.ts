import type { QueuedTask } from './Types.js';

/** Estimates that determine which tasks can still end by their due time. */
export interface TaskTimes {
  /** Current time, on the clock, in ms. */
  readonly now: number;
  /** Fixed part of the duration of a call, in ms. */
  readonly callMs: number;
  /**
   * Moving average of call durations, in ms; a lower bound for the end of a task, as a call usually
   * carries pieces of other tasks too.
   */
  readonly meanCallMs: number;
  /** @returns expected time of one piece of the kind of work, in ms */
  readonly pieceMs: (work: string) => number;
}

/**
 * Orders tasks for a service with more work than it can finish in time: tasks that can still end by
 * their due time first, by priority and then by due time.
 * @param tasks - tasks with waiting pieces
 * @param times - estimates of the durations
 * @returns the tasks, most urgent first
 */
export function byUrgency(tasks: Iterable<QueuedTask>, times: TaskTimes): QueuedTask[] {
  return [...tasks]
    .map((queued) => ({ queued, onTime: isOnTime(queued, times) }))
    .sort(
      (left, right) =>
        Number(right.onTime) - Number(left.onTime) ||
        left.queued.task.priority - right.queued.task.priority ||
        left.queued.task.dueAt - right.queued.task.dueAt,
    )
    .map(({ queued }) => queued);
}

/**
 * @param queued - task with waiting pieces
 * @param times - estimates of the durations
 * @returns whether the task can still end by its due time
 */
export function isOnTime({ task, unassignedPieces }: QueuedTask, times: TaskTimes): boolean {
  const taskMs = times.callMs + times.pieceMs(task.work) * unassignedPieces.size;
  return times.now + Math.max(taskMs, times.meanCallMs) <= task.dueAt;
}
