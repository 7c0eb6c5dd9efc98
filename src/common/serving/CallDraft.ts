/** Selects the server and the pieces of the next call of a stage service. */
import type { PieceTimes } from './PieceTimes.js';
import type { StageCapacity } from './ServingConfiguration.js';
import type { PieceReference, WaitingTask } from './StageQueue.js';
import type { StageServer } from './StageServer.js';

/**
 * Ratio of actual to expected call duration above which a server counts as slow. A slow server gets
 * a task only if it can finish it by its due time, or if the task is late on any server.
 */
const SLOW_FACTOR = 1.6;

/**
 * Maximum time that a task waits for a server in its preferred failure domain, in ms. With longer
 * waits, calls carry fewer pieces and requests miss their objective, which costs more than the
 * transfer between failure domains.
 */
const DOMAIN_PATIENCE_MS = 40;

/** A possible call: a free server and the pieces that it would run. */
export interface CallDraft {
  readonly state: StageServer;
  /** Empty if no task suits the server. */
  readonly pieces: readonly PieceReference[];
}

/** Inputs of the selection that are the same for all servers and tasks. */
export interface DraftContext {
  /** Current time, on the clock, in ms. */
  readonly now: number;
  readonly capacity: StageCapacity;
  readonly pieceTimes: PieceTimes;
  /** Servers that have not failed recently, including busy ones. */
  readonly healthy: readonly StageServer[];
}

/**
 * Builds a candidate call for each free server and selects the one that carries the most urgent
 * task; among equals, the one with the most pieces.
 * @param free - servers with capacity for another call
 * @param entries - tasks, most urgent first
 * @param context - inputs that are the same for all candidates
 * @returns the selected call; undefined if no task suits any server
 */
export function bestDraft(
  free: readonly StageServer[],
  entries: readonly WaitingTask[],
  context: DraftContext,
): CallDraft | undefined {
  let best: CallDraft | undefined;
  let bestRank = Infinity;
  free.forEach((state) => {
    const draft = draftFor(state, entries, context);
    if (draft.pieces.length === 0) return;
    const rank = entries.findIndex(({ taskId }) => taskId === draft.pieces[0]?.taskId);
    const isFuller = draft.pieces.length > (best?.pieces.length ?? 0);
    if (rank > bestRank || (rank === bestRank && !isFuller)) return;
    best = draft;
    bestRank = rank;
  });
  return best;
}

/**
 * Fills a call with pieces in order of urgency. The pieces of a task are split over several calls
 * only if no single call can carry them, so that they finish together on one server.
 */
function draftFor(
  state: StageServer,
  entries: readonly WaitingTask[],
  context: DraftContext,
): CallDraft {
  const { capacity } = context;
  const pieces: PieceReference[] = [];
  let freeBytes = capacity.resultRoomBytes - state.usedBytes(context.now);
  entries.forEach((entry) => {
    const space = Math.min(capacity.batchSize - pieces.length, fitting(freeBytes, entry));
    if (space <= 0 || !suits(state, entry, context)) return;
    const isSplit = space < entry.waiting.size;
    if (isSplit && !mustSplit(entry, capacity)) return;
    const taken = [...entry.waiting].slice(0, space);
    const { taskId, task } = entry;
    taken.forEach((piece) => pieces.push({ taskId, task, piece }));
    freeBytes -= taken.length * task.resultBytes;
  });
  return { state, pieces };
}

/** @returns number of the task's results that fit in the free memory */
function fitting(freeBytes: number, { task }: WaitingTask): number {
  return task.resultBytes === 0 ? Infinity : Math.floor(freeBytes / task.resultBytes);
}

/** Whether the remaining pieces of the task exceed what a single call can carry. */
function mustSplit({ task, waiting }: WaitingTask, capacity: StageCapacity): boolean {
  const isTooLarge = waiting.size * task.resultBytes > capacity.resultRoomBytes;
  return isTooLarge || waiting.size > capacity.batchSize;
}

/** Whether the task should run on this server now. */
function suits(state: StageServer, entry: WaitingTask, context: DraftContext): boolean {
  const { task, waiting } = entry;
  const { now, capacity, pieceTimes } = context;
  const ownMs = capacity.callMs + pieceTimes.of(task.work) * waiting.size;
  const isLate = now + ownMs > task.dueAt;
  const isSlow = state.slowness > SLOW_FACTOR;
  // Tasks skip slow servers only: leaving free places in a call delays all tasks queued behind it.
  if (isSlow && !isLate && now + state.slowness * ownMs > task.dueAt) return false;
  return !shouldWaitForDomain(state, entry, context);
}

/** Whether the task should wait for a server in its preferred failure domain. */
function shouldWaitForDomain(
  state: StageServer,
  { task, addedAt }: WaitingTask,
  { now, healthy }: DraftContext,
): boolean {
  const { preferredDomain } = task;
  if (preferredDomain === undefined || state.server.failureDomain === preferredDomain) return false;
  if (now >= addedAt + DOMAIN_PATIENCE_MS) return false;
  return healthy.some(({ server }) => server.failureDomain === preferredDomain);
}
