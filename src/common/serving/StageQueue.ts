import type { Clock } from '../time/Types.js';
import { bestDraft } from './CallDraft.js';
import { CallPace } from './CallPace.js';
import { PieceTimes } from './PieceTimes.js';
import { StageServer } from './StageServer.js';
import type { BackendServer, StageCapacity } from './ServingConfiguration.js';

/** All pieces of one stage of one request. They succeed or fail together. */
export interface StageTask {
  readonly attemptId: string;
  /** Index of the stage in the route. */
  readonly stage: number;
  /** Number of pieces. */
  readonly pieces: number;
  /** Input of the stage if it reads no results. */
  readonly key?: string;
  /** Handles of the results that every piece reads. */
  readonly inputs: readonly string[];
  /** Approximate size of the result of one piece, in bytes. */
  readonly resultBytes: number;
  /** Total size of the inputs, in bytes. */
  readonly inputBytes: number;
  /** Kind of work; pieces of the same kind take about the same time. */
  readonly work: string;
  /** Failure domain in which transfers of inputs or results cost least; absent if negligible. */
  readonly preferredDomain?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time by which the stage has to end to meet the request's objective, on the clock, in ms. */
  readonly dueAt: number;
  /** Time after which the results are no longer needed, on the clock, in ms. */
  readonly expiresAt: number;
}

/** Reference to one piece of a task. */
export interface PieceReference {
  readonly taskId: number;
  readonly task: StageTask;
  /** Index of the piece in the task. */
  readonly piece: number;
}

/** A call to send now. */
export interface PlannedCall {
  readonly callId: number;
  readonly server: BackendServer;
  readonly pieces: readonly PieceReference[];
  /** Expected duration, in ms. */
  readonly expectedMs: number;
}

/**
 * Outcome of one piece, as reported by the backend server. `made`: the result is stored under the
 * handle. `late`: the deadline passed first. `input-gone`: an input is no longer stored. `no-room`:
 * the server has no memory for the result.
 */
export type PieceOutcome =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'late' | 'input-gone' | 'no-room' | 'failed' };

/** How a call ended. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly pieces: readonly PieceOutcome[] }
  /** The server refused the call, as it is at capacity. */
  | { readonly kind: 'not-executed' }
  /** No byte of the call was sent. */
  | { readonly kind: 'unsent' }
  /** The call failed after it was sent; the server may have run it. */
  | { readonly kind: 'broken' };

/** How a task ended. */
export type TaskOutcome =
  | { readonly kind: 'done'; readonly handles: readonly string[] }
  | { readonly kind: 'expired' | 'input-gone' | 'failed' };

/** A task that ended. */
export interface TaskEnd {
  readonly taskId: number;
  readonly outcome: TaskOutcome;
}

/** A task without results for all its pieces. */
export interface WaitingTask {
  readonly taskId: number;
  readonly task: StageTask;
  /** Pieces that have no result and are not part of a call in progress. */
  readonly waiting: Set<number>;
  /** Handles of the results, by piece. */
  readonly handles: Map<number, string>;
  /** On the clock, in ms. */
  readonly addedAt: number;
  /** Failed sends, summed over the pieces. */
  failures: number;
}

/** Failed sends per piece, averaged over the task, above which the task fails. */
const MAX_PIECE_FAILURES = 4;

/** Returns whether the given number of pieces may be sent again. */
export type RepeatPermission = (pieces: number) => boolean;

/**
 * Batches the pieces of one stage service into calls.
 *
 * Designed for many requests with a few pieces each, calls with a large fixed cost, and bursts in
 * which more pieces arrive than full calls can carry. Free servers do not wait for a full batch,
 * although {@link CallPace} spaces the starts of smaller ones. Batches grow with the load, as pieces
 * accumulate while servers are busy. Requests that can still meet their objective go first, by
 * priority and then by due time. Requests that cannot finish before their deadline are dropped.
 */
export class StageQueue {
  private readonly tasks = new Map<number, WaitingTask>();

  private readonly servers = new Map<string, StageServer>();

  private readonly calls = new Map<number, PlannedCall>();

  private nextCallId = 1;

  private nextTaskId = 1;

  private orphans: string[] = [];

  private readonly pieceTimes: PieceTimes;

  private readonly pace = new CallPace();

  /**
   * @param clock - time source
   * @param capacity - capacity of each server of the service
   * @param mayRepeat - called before pieces are sent again after a failure
   */
  constructor(
    private readonly clock: Clock,
    private capacity: StageCapacity,
    private readonly mayRepeat: RepeatPermission,
  ) {
    this.pieceTimes = new PieceTimes(() => this.capacity);
  }

  /** Applies the capacity of a new configuration. */
  updateCapacity(capacity: StageCapacity): void {
    this.capacity = capacity;
  }

  /** Sets the servers that may get calls. Servers that remain keep their state. */
  updateServers(usable: readonly BackendServer[]): void {
    const ids = new Set(usable.map(({ id }) => id));
    [...this.servers.keys()].filter((id) => !ids.has(id)).forEach((id) => this.servers.delete(id));
    usable.forEach((server) => {
      const known = this.servers.get(server.id);
      if (known) known.server = server;
      else this.servers.set(server.id, new StageServer(server));
    });
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
    const waiting = new Set(Array.from({ length: task.pieces }, (_, piece) => piece));
    const addedAt = this.clock.now();
    this.tasks.set(taskId, { taskId, task, waiting, handles: new Map(), addedAt, failures: 0 });
    return taskId;
  }

  /**
   * Removes a task whose request ended.
   * @param taskId - id of the task
   * @returns handles of the results that it has so far
   */
  cancel(taskId: number): string[] {
    const entry = this.tasks.get(taskId);
    this.tasks.delete(taskId);
    return [...(entry?.handles.values() ?? [])];
  }

  /** Number of pieces that wait to be sent. */
  get waitingPieces(): number {
    return [...this.tasks.values()].reduce((sum, { waiting }) => sum + waiting.size, 0);
  }

  /** Whether no task waits or runs. */
  get isEmpty(): boolean {
    return this.tasks.size === 0;
  }

  /** Estimated time until all waiting pieces have been sent, in ms. */
  get backlogMs(): number {
    const usable = [...this.servers.values()].filter((state) => state.isHealthy(this.clock.now()));
    if (usable.length === 0) return this.capacity.callMs;
    const { batchSize } = this.capacity;
    const cycles = this.waitingPieces / (batchSize * usable.length);
    return cycles * this.callMs(batchSize);
  }

  /**
   * Removes the waiting tasks that cannot finish in time. A task with more work queued ahead of it
   * than the servers can do before its expiry is removed immediately rather than at its expiry.
   * @returns the removed tasks
   */
  takeExpired(): TaskEnd[] {
    const now = this.clock.now();
    const healthy = [...this.servers.values()].filter((state) => state.isHealthy(now)).length;
    const piecesPerMs =
      (Math.max(1, healthy) * this.capacity.batchSize) / this.callMs(this.capacity.batchSize);
    let ahead = 0;
    const expired = this.inOrder(now).filter(({ task, waiting }) => {
      const startsInMs = ahead / piecesPerMs;
      const isExpired = now + startsInMs + this.capacity.callMs > task.expiresAt;
      if (!isExpired) ahead += waiting.size;
      return isExpired;
    });
    return expired.map(({ taskId }) => this.end(taskId, { kind: 'expired' }));
  }

  /**
   * Assigns waiting pieces to servers. The calls count as in progress until {@link finishCall}.
   * @returns calls to send now
   */
  plan(): PlannedCall[] {
    const now = this.clock.now();
    const healthy = [...this.servers.values()].filter((state) => state.isHealthy(now));
    const planned: PlannedCall[] = [];
    let entries = this.inOrder(now);
    while (entries.length > 0) {
      const call = this.planOne(entries, healthy, now);
      if (!call) break;
      planned.push(call);
      entries = entries.filter(({ waiting }) => waiting.size > 0);
    }
    return planned;
  }

  /**
   * Time at which {@link plan} should be called again even if nothing else happens, on the clock,
   * in ms; undefined if no pieces wait.
   */
  get nextPlanAt(): number | undefined {
    return this.waitingPieces > 0 ? this.pace.nextStartAt : undefined;
  }

  private planOne(
    entries: readonly WaitingTask[],
    healthy: readonly StageServer[],
    now: number,
  ): PlannedCall | undefined {
    const { concurrentCalls } = this.capacity;
    const free = healthy.filter((state) => state.isFree(now, concurrentCalls));
    if (free.length === 0) return undefined;
    const waiting = entries.reduce((sum, entry) => sum + entry.waiting.size, 0);
    const isFull = waiting >= this.capacity.batchSize;
    const load = { now, servers: healthy.length, free: free.length };
    const mayStart = isFull || this.pace.mayStart(load);
    const drafting = { now, capacity: this.capacity, pieceTimes: this.pieceTimes, healthy };
    const draft = mayStart ? bestDraft(free, entries, drafting) : undefined;
    return draft && this.startCall(draft.state, [...draft.pieces], now);
  }

  /**
   * Records the end of a call.
   * @param callId - id of the call
   * @param outcome - how it ended
   * @returns tasks that ended with the call
   */
  finishCall(callId: number, outcome: CallOutcome): TaskEnd[] {
    const call = this.calls.get(callId);
    if (!call) return [];
    this.calls.delete(callId);
    const state = this.servers.get(call.server.id);
    const durationMs = state?.finish(callId, outcome, this.clock.now());
    if (outcome.kind === 'unsent') return this.putBack(call.pieces);
    if (outcome.kind !== 'answered') return this.repeat(call.pieces);
    if (durationMs !== undefined) this.pieceTimes.note(call.pieces, durationMs);
    return call.pieces.flatMap((reference, index) =>
      this.settle(reference, outcome.pieces[index] ?? { kind: 'failed' }, state),
    );
  }

  /**
   * Removes the results that were produced for tasks that have ended without reading them.
   * @returns handles of the results, to be released
   */
  takeOrphans(): string[] {
    const taken = this.orphans;
    this.orphans = [];
    return taken;
  }

  /** Records that a server has freed the memory of released results. */
  release(serverId: string, handles: readonly string[]): void {
    this.servers.get(serverId)?.release(handles);
  }

  /** @returns configured duration of a call, in ms */
  private callMs(pieces: number): number {
    return this.capacity.callMs + pieces * this.capacity.pieceMs;
  }

  /** @returns tasks with waiting pieces, most urgent first */
  private inOrder(now: number): WaitingTask[] {
    // The mean is a lower bound, as a call usually carries pieces of other tasks too.
    const isOnTime = ({ task, waiting }: WaitingTask) => {
      const ownMs = this.capacity.callMs + this.pieceTimes.of(task.work) * waiting.size;
      return now + Math.max(ownMs, this.pace.meanCallMs) <= task.dueAt;
    };
    return [...this.tasks.values()]
      .filter(({ waiting }) => waiting.size > 0)
      .map((entry) => ({ entry, onTime: isOnTime(entry) }))
      .sort(
        (left, right) =>
          Number(right.onTime) - Number(left.onTime) ||
          left.entry.task.priority - right.entry.task.priority ||
          left.entry.task.dueAt - right.entry.task.dueAt,
      )
      .map(({ entry }) => entry);
  }

  private startCall(state: StageServer, pieces: PieceReference[], now: number): PlannedCall {
    const callId = this.nextCallId;
    this.nextCallId += 1;
    pieces.forEach(({ taskId, piece }) => this.tasks.get(taskId)?.waiting.delete(piece));
    const expectedMs = this.pieceTimes.callMs(pieces);
    const bytes = pieces.reduce((sum, { task }) => sum + task.resultBytes, 0);
    state.start(callId, { startedAt: now, expectedMs, bytes });
    this.pace.noteStart(now, expectedMs);
    const call = { callId, server: state.server, pieces, expectedMs };
    this.calls.set(callId, call);
    return call;
  }

  private settle(
    reference: PieceReference,
    outcome: PieceOutcome,
    state: StageServer | undefined,
  ): TaskEnd[] {
    const { taskId, task, piece } = reference;
    if (outcome.kind === 'made') {
      const retainedUntil = this.clock.now() + this.capacity.resultRetentionMs;
      state?.hold(outcome.handle, { bytes: task.resultBytes, retainedUntil });
    }
    const entry = this.tasks.get(taskId);
    if (!entry) {
      if (outcome.kind === 'made') this.orphans.push(outcome.handle);
      return [];
    }
    if (outcome.kind === 'late') return [this.end(taskId, { kind: 'expired' })];
    if (outcome.kind === 'input-gone') return [this.end(taskId, { kind: 'input-gone' })];
    if (outcome.kind !== 'made') return this.repeat([reference]);
    entry.handles.set(piece, outcome.handle);
    if (entry.handles.size < task.pieces) return [];
    const handles = Array.from({ length: task.pieces }, (_, index) => entry.handles.get(index)!);
    return [this.end(taskId, { kind: 'done', handles })];
  }

  /** Requeues pieces that no server received. They do not count as failed sends. */
  private putBack(references: readonly PieceReference[]): TaskEnd[] {
    references.forEach(({ taskId, piece }) => this.tasks.get(taskId)?.waiting.add(piece));
    return [];
  }

  /** Requeues pieces after a failed send, or ends their tasks if no retry is allowed. */
  private repeat(references: readonly PieceReference[]): TaskEnd[] {
    return references.flatMap(({ taskId, task, piece }) => {
      const entry = this.tasks.get(taskId);
      if (!entry) return [];
      entry.failures += 1;
      const isExhausted = entry.failures > MAX_PIECE_FAILURES * task.pieces;
      if (isExhausted || !this.mayRepeat(1)) return [this.end(taskId, { kind: 'failed' })];
      entry.waiting.add(piece);
      return [];
    });
  }

  private end(taskId: number, outcome: TaskOutcome): TaskEnd {
    if (outcome.kind !== 'done') this.orphans.push(...this.cancel(taskId));
    this.tasks.delete(taskId);
    return { taskId, outcome };
  }
}
