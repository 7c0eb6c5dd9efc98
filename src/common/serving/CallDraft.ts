/** Chooses what the next call to a stage server carries. */
import type { PieceTimes } from './PieceTimes.js';
import type { StageCapacity } from './ServingConfiguration.js';
import type { PieceReference, WaitingTask } from './StageQueue.js';
import type { StageServer } from './StageServer.js';

/** Calls at a server that takes this many times the expected time are looked at one by one. */
const SLOW_FACTOR = 1.6;

/**
 * Time that a task waits for a server in its preferred failure domain, in ms. Longer waits made calls less full
 * and requests late, which cost more than the transfer.
 */
const DOMAIN_PATIENCE_MS = 40;

/** A call that could be made. */
export interface CallDraft {
  readonly state: StageServer;
  readonly pieces: readonly PieceReference[];
}

/** What drafts depend on. */
export interface DraftContext {
  readonly now: number;
  readonly capacity: StageCapacity;
  readonly pieceTimes: PieceTimes;
  /** Servers that work, busy ones included. */
  readonly healthy: readonly StageServer[];
}

/**
 * Drafts a call for each free server and takes the one that carries the most urgent task, and among
 * equals the fullest.
 * @param free - servers without a call
 * @param entries - tasks, most urgent first
 * @returns the best draft; undefined if no task suits any server
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

/** Pieces of one task stay together where they fit, so that they end together in one place. */
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

function fitting(freeBytes: number, { task }: WaitingTask): number {
  return task.resultBytes === 0 ? Infinity : Math.floor(freeBytes / task.resultBytes);
}

/** True if no single call can carry the task. */
function mustSplit({ task, waiting }: WaitingTask, capacity: StageCapacity): boolean {
  const isTooLarge = waiting.size * task.resultBytes > capacity.resultRoomBytes;
  return isTooLarge || waiting.size > capacity.batchSize;
}

/** True if the task should run at this server now. */
function suits(state: StageServer, entry: WaitingTask, context: DraftContext): boolean {
  const { task, waiting } = entry;
  const { now, capacity, pieceTimes } = context;
  const ownMs = capacity.callMs + pieceTimes.of(task.work) * waiting.size;
  const isLate = now + ownMs > task.dueAt;
  const isSlow = state.slowness > SLOW_FACTOR;
  // Only slow servers are avoided: a call that is left less full delays everything behind it.
  if (isSlow && !isLate && now + state.slowness * ownMs > task.dueAt) return false;
  return !shouldWaitForDomain(state, entry, context);
}

/** A task with costly transfers waits a little for a server that saves them. */
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
