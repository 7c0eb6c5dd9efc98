import type { Clock } from '../time/Types.js';
import { selectCall } from './CallSelection.js';
import { CallPacer } from './CallPacer.js';
import { PieceTimeEstimator } from './PieceTimeEstimator.js';
import { MAX_HELD_PIECES, successiveCalls, tasksToEvict } from './StageBounds.js';
import { freeTimesByDomain, type StageServerState } from './StageServerState.js';
import { StageServers } from './StageServers.js';
import { byUrgency, isOnTime, type TaskTimes } from './TaskOrder.js';
import type { BackendServer, StageCapacity } from './ServingConfiguration.js';
import type { StageLoad } from './StageLoad.js';
import { StageLoadMeter } from './StageLoadMeter.js';
import type {
  CallLimits,
  CallOutcome,
  EndedTask,
  PieceOutcome,
  PieceReference,
  PlannedCall,
  QueuedTask,
  RetryPermission,
  StageTask,
  TaskOutcome,
} from './Types.js';

/** What a queue asks before it sends pieces. */
export interface StageRules {
  /** Limits on the calls to each server. */
  readonly limits: CallLimits;
  /** Called before pieces are sent again after a failure. */
  readonly mayRetry: RetryPermission;
  /** Whether the pieces of a task must not share a call with those of others. */
  readonly mustRunAlone: (task: StageTask) => boolean;
}

/** Failed sends per piece, averaged over the task, above which the task fails. */
const MAX_FAILURES_PER_PIECE = 4;

/**
 * Batches the pieces of one stage service into calls.
 *
 * Designed for many requests with a few pieces each, calls with a large fixed cost, and bursts in
 * which more pieces arrive than full calls can carry. Free servers do not wait for a full batch,
 * but {@link CallPacer} spaces the starts of smaller ones. Batches grow with the load, as pieces
 * accumulate while servers are busy. Requests that can still meet their objective go first, by
 * priority and then by due time. Requests that cannot finish before their deadline are dropped.
 */
export class StageQueue {
  private readonly tasks = new Map<number, QueuedTask>();

  /** The tasks with unassigned pieces, by id. */
  private readonly waitingTasks = new Map<number, QueuedTask>();

  private waitingPieces = 0;

  /** Pieces of all tasks. */
  private heldPieces = 0;

  /** Whether pieces have been waiting ever since the last start of a call. */
  private isBacklogged = false;

  private readonly servers: StageServers;

  private readonly calls = new Map<number, PlannedCall>();

  private nextCallId = 1;

  private nextTaskId = 1;

  private orphans: string[] = [];

  private readonly pieceTimes: PieceTimeEstimator;

  private readonly pacer = new CallPacer();

  private readonly loadMeter: StageLoadMeter;

  /**
   * @param clock - time source
   * @param capacity - capacity of each server of the service
   * @param rules - what the queue asks before it sends pieces
   */
  constructor(
    private readonly clock: Clock,
    private capacity: StageCapacity,
    private readonly rules: StageRules,
  ) {
    this.pieceTimes = new PieceTimeEstimator(() => this.capacity);
    this.loadMeter = new StageLoadMeter(clock);
    this.servers = new StageServers(clock, () => this.capacity, rules.limits);
  }

  /** Applies the capacity of a new configuration. */
  updateCapacity(capacity: StageCapacity): void {
    this.capacity = capacity;
  }

  /** Sets the servers that may get calls. Servers that remain keep their state. */
  updateServers(usable: readonly BackendServer[]): void {
    this.servers.update(usable);
  }

  /** Whether the servers could make the pieces of a task before it expires if they ran nothing else. */
  canEnd({ pieces, expiresAt }: StageTask): boolean {
    const calls = successiveCalls(pieces, this.servers.all().length, this.capacity);
    return this.clock.now() + calls * this.capacity.callMs <= expiresAt;
  }

  /**
   * Evicts larger tasks if the pieces of another one would exceed the bound.
   * @param pieces - number of its pieces
   * @returns tasks that ended; undefined if there is no room for it
   */
  makeRoom(pieces: number): EndedTask[] | undefined {
    if (this.heldPieces + pieces <= MAX_HELD_PIECES) return [];
    const evicted = tasksToEvict(this.tasks.values(), pieces);
    return evicted?.map(({ taskId }) => this.endTask(taskId, { kind: 'failed' }));
  }

  /**
   * Adds a task. The queue assigns the id, because tasks come from several processes: if they chose
   * the ids, two tasks could have the same one and get each other's results.
   * @param task - task to add
   * @returns id of the task in this queue
   */
  add(task: StageTask): number {
    const taskId = this.nextTaskId;
    this.nextTaskId += 1;
    const queued: QueuedTask = {
      taskId,
      task,
      unassignedPieces: new Set(),
      handles: new Map(),
      addedAt: this.clock.now(),
      failures: 0,
    };
    this.tasks.set(taskId, queued);
    this.heldPieces += task.pieces;
    this.loadMeter.recordArrival(task.priority, task.pieces);
    for (let piece = 0; piece < task.pieces; piece += 1) this.unassign(queued, piece);
    return taskId;
  }

  /**
   * Removes a task whose request ended.
   * @param taskId - id of the task
   * @returns handles of the results that it has so far
   */
  cancel(taskId: number): string[] {
    const queued = this.tasks.get(taskId);
    if (!queued) return [];
    this.removeTask(queued);
    return [...queued.handles.values()];
  }

  /** Number of pieces that wait to be sent. */
  get waitingPieceCount(): number {
    return this.waitingPieces;
  }

  /** Whether pieces wait and a server could run a call now. */
  get canStartCall(): boolean {
    if (this.waitingPieces === 0) return false;
    return this.servers.free(this.servers.all(), []).length > 0;
  }

  /** Whether no task waits or runs. */
  get isEmpty(): boolean {
    return this.tasks.size === 0;
  }

  /** Estimated time until all waiting pieces have been sent, in ms. */
  get backlogMs(): number {
    const healthy = this.servers.healthy();
    if (healthy.length === 0) return Math.max(this.capacity.callMs, this.servers.pauseMs);
    return this.waitingPieceCount / this.servers.piecesPerMs(healthy);
  }

  /** Load of the service, for the admission of requests. */
  get load(): StageLoad {
    const times = this.taskTimes(this.clock.now());
    return this.loadMeter.load(
      this.waitingTasks.values(),
      (queued) => isOnTime(queued, times),
      this.servers.piecesPerMs(this.servers.healthy()),
    );
  }

  /**
   * Removes the waiting tasks that cannot finish in time. A task with more work queued ahead of it
   * than the servers can do before its expiry is removed immediately rather than at its expiry.
   * @returns the removed tasks
   */
  removeExpired(): EndedTask[] {
    if (this.waitingPieces === 0) return [];
    const now = this.clock.now();
    const healthy = this.servers.healthy();
    const piecesPerMs = this.servers.piecesPerMs(healthy);
    const pauseMs = healthy.length > 0 ? 0 : this.servers.pauseMs;
    let piecesAhead = 0;
    const expired = this.byUrgency(now).filter(({ task, unassignedPieces }) => {
      const startsInMs = pauseMs + piecesAhead / piecesPerMs;
      const isExpired = now + startsInMs + this.capacity.callMs > task.expiresAt;
      if (!isExpired) piecesAhead += unassignedPieces.size;
      return isExpired;
    });
    return expired.map(({ taskId }) => this.endTask(taskId, { kind: 'expired' }));
  }

  /**
   * Ends tasks with waiting pieces, which no server will run.
   * @param isAffected - whether to end a task; default: all
   */
  failWaiting(isAffected: (task: StageTask) => boolean = () => true): EndedTask[] {
    return [...this.waitingTasks.values()]
      .filter(({ task }) => isAffected(task))
      .map(({ taskId }) => this.endTask(taskId, { kind: 'failed' }));
  }

  /**
   * Assigns waiting pieces to servers. The calls count as in progress until {@link finishCall}.
   * @returns calls to send now
   */
  plan(): PlannedCall[] {
    if (!this.canStartCall) return [];
    const now = this.clock.now();
    const healthy = this.servers.healthy();
    const planned: PlannedCall[] = [];
    let queuedTasks = this.byUrgency(now);
    while (queuedTasks.length > 0) {
      const call = this.planCall(queuedTasks, healthy, planned);
      if (!call) break;
      planned.push(call);
      queuedTasks = queuedTasks.filter(({ unassignedPieces }) => unassignedPieces.size > 0);
    }
    return planned;
  }

  /**
   * Time at which {@link plan} should be called again even if nothing else happens, on the clock,
   * in ms; undefined if no pieces wait.
   */
  get nextPlanAt(): number | undefined {
    return this.waitingPieceCount > 0 ? this.pacer.nextStartAt : undefined;
  }

  private planCall(
    queuedTasks: readonly QueuedTask[],
    healthy: readonly StageServerState[],
    planned: readonly PlannedCall[],
  ): PlannedCall | undefined {
    const now = this.clock.now();
    const freeServers = this.servers.free(healthy, planned);
    if (freeServers.length === 0) return undefined;
    const isFull = this.waitingPieces >= this.capacity.batchSize;
    const load = { now, serverCount: healthy.length, freeCount: freeServers.length };
    const mayStart = isFull || this.pacer.mayStart(load);
    const domainFreeAt = freeTimesByDomain(healthy, now);
    const isBacklogged = this.waitingPieces > this.capacity.batchSize * healthy.length;
    const { capacity, pieceTimes } = this;
    const { mustRunAlone } = this.rules;
    const context = { now, capacity, pieceTimes, domainFreeAt, isBacklogged, mustRunAlone };
    const candidate = mayStart ? selectCall(freeServers, queuedTasks, context) : undefined;
    return candidate && this.startCall(candidate.serverState, [...candidate.pieces], now);
  }

  /**
   * Records the end of a call.
   * @param callId - id of the call
   * @param outcome - how it ended
   * @returns tasks that ended with the call
   */
  finishCall(callId: number, outcome: CallOutcome): EndedTask[] {
    const call = this.calls.get(callId);
    if (!call) return [];
    this.calls.delete(callId);
    const state = this.servers.get(call.server.id);
    const durationMs = state?.finishCall(callId, outcome, this.clock.now());
    if (outcome.kind === 'unsent') return this.requeue(call.pieces);
    if (outcome.kind !== 'answered') return this.retryOrFail(call.pieces);
    if (durationMs !== undefined) this.pieceTimes.recordCall(call.pieces, durationMs);
    return call.pieces.flatMap((reference, index) =>
      this.settlePiece(reference, outcome.pieces[index] ?? { kind: 'failed' }, state),
    );
  }

  /**
   * Removes the results that were produced for tasks that have ended without reading them.
   * @returns handles of the results, to be released
   */
  removeOrphans(): string[] {
    const orphans = this.orphans;
    this.orphans = [];
    return orphans;
  }

  /** Records that a server has freed the memory of released results. */
  release(serverId: string, handles: readonly string[]): void {
    this.servers.get(serverId)?.release(handles);
  }

  /** @returns tasks with waiting pieces, most urgent first */
  private byUrgency(now: number): QueuedTask[] {
    return byUrgency(this.waitingTasks.values(), this.taskTimes(now));
  }

  private taskTimes(now: number): TaskTimes {
    const pieceMs = (work: string) => this.pieceTimes.pieceMs(work);
    return { now, callMs: this.capacity.callMs, meanCallMs: this.pacer.meanCallMs, pieceMs };
  }

  private startCall(state: StageServerState, pieces: PieceReference[], now: number): PlannedCall {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    pieces.forEach((reference) => this.assign(reference));
    const expectedMs = this.pieceTimes.callMs(pieces);
    const bytes = pieces.reduce((sum, { task }) => sum + task.resultBytes, 0);
    state.startCall(callId, { startedAt: now, expectedMs, bytes });
    this.pacer.recordStart(now, expectedMs);
    this.loadMeter.recordStart(pieces.length, this.isBacklogged);
    this.isBacklogged = this.waitingPieces > 0;
    const call = { callId, server: state.server, pieces, expectedMs };
    this.calls.set(callId, call);
    return call;
  }

  private settlePiece(
    reference: PieceReference,
    outcome: PieceOutcome,
    state: StageServerState | undefined,
  ): EndedTask[] {
    const { taskId, task, piece } = reference;
    if (outcome.kind === 'made') {
      const retainedUntil = this.clock.now() + this.capacity.resultRetentionMs;
      state?.storeResult(outcome.handle, { bytes: task.resultBytes, retainedUntil });
    }
    const queued = this.tasks.get(taskId);
    if (!queued) {
      if (outcome.kind === 'made') this.orphans.push(outcome.handle);
      return [];
    }
    if (outcome.kind === 'late') return [this.endTask(taskId, { kind: 'expired' })];
    if (outcome.kind === 'input-gone') return [this.endTask(taskId, { kind: 'input-gone' })];
    if (outcome.kind !== 'made') return this.retryOrFail([reference]);
    queued.handles.set(piece, outcome.handle);
    if (queued.handles.size < task.pieces) return [];
    const handles = Array.from({ length: task.pieces }, (_, index) => queued.handles.get(index)!);
    return [this.endTask(taskId, { kind: 'done', handles })];
  }

  /** Requeues pieces that no server received. They do not count as failed sends. */
  private requeue(references: readonly PieceReference[]): EndedTask[] {
    references.forEach(({ taskId, piece }) => {
      const queued = this.tasks.get(taskId);
      if (queued) this.unassign(queued, piece);
    });
    return [];
  }

  /** Requeues pieces after a failed send, or ends their tasks if no retry is allowed. */
  private retryOrFail(references: readonly PieceReference[]): EndedTask[] {
    return references.flatMap(({ taskId, task, piece }) => {
      const queued = this.tasks.get(taskId);
      if (!queued) return [];
      queued.failures += 1;
      const isExhausted = queued.failures > MAX_FAILURES_PER_PIECE * task.pieces;
      if (isExhausted || !this.rules.mayRetry(1)) return [this.endTask(taskId, { kind: 'failed' })];
      this.unassign(queued, piece);
      return [];
    });
  }

  private endTask(taskId: number, outcome: TaskOutcome): EndedTask {
    const handles = this.cancel(taskId);
    if (outcome.kind !== 'done') this.orphans.push(...handles);
    return { taskId, outcome };
  }

  private assign({ taskId, piece }: PieceReference): void {
    const queued = this.tasks.get(taskId);
    if (!queued?.unassignedPieces.delete(piece)) return;
    this.waitingPieces -= 1;
    if (queued.unassignedPieces.size === 0) this.waitingTasks.delete(taskId);
  }

  private unassign(queued: QueuedTask, piece: number): void {
    if (queued.unassignedPieces.has(piece)) return;
    queued.unassignedPieces.add(piece);
    this.waitingPieces += 1;
    this.waitingTasks.set(queued.taskId, queued);
  }

  private removeTask({ taskId, task, unassignedPieces }: QueuedTask): void {
    this.tasks.delete(taskId);
    this.heldPieces -= task.pieces;
    this.waitingTasks.delete(taskId);
    this.waitingPieces -= unassignedPieces.size;
    if (this.waitingPieces === 0) this.isBacklogged = false;
  }
}
