/** Selects the server and the pieces of the next call of a stage service. */
import type { PieceTimeEstimator } from './PieceTimeEstimator.js';
import type { StageCapacity } from './ServingConfiguration.js';
import type { PieceReference, QueuedTask, StageTask } from './Types.js';
import type { StageServerState } from './StageServerState.js';

/**
 * Ratio of actual to expected call duration above which a server counts as slow. A slow server gets
 * a task only if it can finish it by its due time, or if the task is late on any server.
 */
const SLOW_SERVER_RATIO = 1.6;

/**
 * Maximum time from the arrival of a task until a server in its preferred failure domain is free,
 * as a multiple of the fixed time of a call. With longer waits, calls carry fewer pieces and
 * requests miss their objective, which costs more than the transfer between failure domains.
 */
const MAX_DOMAIN_WAIT_CALLS = 1.5;

/** A possible call: a free server and the pieces that it would run. */
export interface CandidateCall {
  readonly serverState: StageServerState;
  /** Empty if no task suits the server. */
  readonly pieces: readonly PieceReference[];
  /** Position of the first task among the queued ones. */
  readonly rank: number;
}

/** Inputs of the selection that are the same for all servers and tasks. */
export interface SelectionContext {
  /** Current time, on the clock, in ms. */
  readonly now: number;
  readonly capacity: StageCapacity;
  readonly pieceTimes: PieceTimeEstimator;
  /**
   * Expected time at which a server of each failure domain is free, on the clock, in ms. Domains in
   * which all servers failed recently are missing.
   */
  readonly domainFreeAt: ReadonlyMap<string, number>;
  /** Whether more pieces wait than one full call to each server can carry. */
  readonly isBacklogged: boolean;
  /** Whether the pieces of a task must not share a call with those of others. */
  readonly mustRunAlone: (task: StageTask) => boolean;
}

/**
 * Builds a candidate call for each free server and selects the one that carries the most urgent
 * task; among equals, the one with the most pieces.
 * @param freeServers - servers with capacity for another call
 * @param queuedTasks - tasks, most urgent first
 * @param context - inputs that are the same for all candidates
 * @returns the selected call; undefined if no task suits any server
 */
export function selectCall(
  freeServers: readonly StageServerState[],
  queuedTasks: readonly QueuedTask[],
  context: SelectionContext,
): CandidateCall | undefined {
  let best: CandidateCall | undefined;
  for (const serverState of freeServers) {
    const candidate = candidateFor(serverState, queuedTasks, context);
    if (candidate.pieces.length > 0 && (!best || isBetter(candidate, best))) best = candidate;
    // No other call could carry a more urgent task or more pieces.
    if (best?.rank === 0 && best.pieces.length >= context.capacity.batchSize) return best;
  }
  return best;
}

function isBetter(candidate: CandidateCall, best: CandidateCall): boolean {
  if (candidate.rank !== best.rank) return candidate.rank < best.rank;
  return candidate.pieces.length > best.pieces.length;
}

/**
 * Fills a call with pieces in order of urgency. The pieces of a task are split over several calls
 * only if no single call can carry them, so that they finish together on one server, or if places
 * of a backlogged service would stay free.
 */
function candidateFor(
  serverState: StageServerState,
  queuedTasks: readonly QueuedTask[],
  context: SelectionContext,
): CandidateCall {
  const { capacity, isBacklogged, mustRunAlone } = context;
  const pieces: PieceReference[] = [];
  let rank = Infinity;
  let freeBytes = capacity.resultRoomBytes - serverState.usedBytes(context.now);
  /** Most urgent task of which the call could carry a part only. */
  let divisible: { readonly queuedTask: QueuedTask; readonly index: number } | undefined;
  const assign = (queuedTask: QueuedTask, index: number, count: number) => {
    const { taskId, task } = queuedTask;
    const assigned = [...queuedTask.unassignedPieces].slice(0, count);
    assigned.forEach((piece) => pieces.push({ taskId, task, piece }));
    freeBytes -= assigned.length * task.resultBytes;
    rank = Math.min(rank, index);
  };
  const fitting = (queuedTask: QueuedTask) =>
    Math.min(capacity.batchSize - pieces.length, fittingResults(freeBytes, queuedTask));
  for (const [index, queuedTask] of queuedTasks.entries()) {
    const [first] = pieces;
    if (pieces.length >= capacity.batchSize || (first && mustRunAlone(first.task))) break;
    const isAlone = mustRunAlone(queuedTask.task);
    if (first && isAlone) continue;
    const maxPieces = fitting(queuedTask);
    if (maxPieces > 0 && shouldRunOn(serverState, queuedTask, context)) {
      const { size } = queuedTask.unassignedPieces;
      const isWhole = maxPieces >= size;
      // Results of a part would occupy scarce memory until the rest has run elsewhere.
      const hasRoom = fittingResults(freeBytes, queuedTask) >= size;
      const mayDivide = isBacklogged && !isAlone && hasRoom && isPreferred(serverState, queuedTask);
      if (isWhole || mustSplit(queuedTask, capacity)) assign(queuedTask, index, maxPieces);
      else if (mayDivide) divisible ??= { queuedTask, index };
    }
  }
  // The rest of the task starts with the next call, which is when the whole task would have started.
  if (pieces[0] && mustRunAlone(pieces[0].task)) divisible = undefined;
  const dividedPieces = divisible ? fitting(divisible.queuedTask) : 0;
  if (divisible && dividedPieces > 0) assign(divisible.queuedTask, divisible.index, dividedPieces);
  return { serverState, pieces, rank };
}

/** Whether transfers of the task's inputs or results cost no more here than elsewhere. */
function isPreferred({ server }: StageServerState, { task }: QueuedTask): boolean {
  return task.preferredDomain === undefined || task.preferredDomain === server.failureDomain;
}

/** @returns number of the task's results that fit in the free memory */
function fittingResults(freeBytes: number, { task }: QueuedTask): number {
  return task.resultBytes === 0 ? Infinity : Math.floor(freeBytes / task.resultBytes);
}

/** Whether the remaining pieces of the task exceed what a single call can carry. */
function mustSplit({ task, unassignedPieces }: QueuedTask, capacity: StageCapacity): boolean {
  const isTooLarge = unassignedPieces.size * task.resultBytes > capacity.resultRoomBytes;
  return isTooLarge || unassignedPieces.size > capacity.batchSize;
}

/** Whether the task should run on this server now. */
function shouldRunOn(
  serverState: StageServerState,
  queuedTask: QueuedTask,
  context: SelectionContext,
): boolean {
  const { task, unassignedPieces } = queuedTask;
  const { now, capacity, pieceTimes } = context;
  const taskMs = capacity.callMs + pieceTimes.pieceMs(task.work) * unassignedPieces.size;
  const isLate = now + taskMs > task.dueAt;
  const isSlow = serverState.slowness > SLOW_SERVER_RATIO;
  // Tasks skip slow servers only: leaving free places in a call delays all tasks queued behind it.
  if (isSlow && !isLate && now + serverState.slowness * taskMs > task.dueAt) return false;
  return !shouldWaitForDomain(serverState, queuedTask, taskMs, context);
}

/**
 * Whether the task should wait for a server in its preferred failure domain: if one is free soon
 * and the task still ends in time there.
 */
function shouldWaitForDomain(
  serverState: StageServerState,
  { task, addedAt }: QueuedTask,
  taskMs: number,
  { capacity, domainFreeAt }: SelectionContext,
): boolean {
  const { preferredDomain } = task;
  if (preferredDomain === undefined || serverState.server.failureDomain === preferredDomain)
    return false;
  const freeAt = domainFreeAt.get(preferredDomain) ?? Infinity;
  const waitsUntil = addedAt + MAX_DOMAIN_WAIT_CALLS * capacity.callMs;
  return freeAt <= waitsUntil && freeAt + taskMs <= task.dueAt;
}
