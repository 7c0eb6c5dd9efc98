import type { Clock } from '../time/Types.js';
import { bestDraft } from './CallDraft.js';
import { CallPace } from './CallPace.js';
import { PieceTimes } from './PieceTimes.js';
import { StageServer } from './StageServer.js';
import type { BackendServer, StageCapacity } from './ServingConfiguration.js';

/** All pieces of one stage of one request. They succeed or fail together. */
export interface StageTask {
  readonly attemptId: string;
  readonly stage: number;
  readonly pieces: number;
  /** Start of stages that read no results. */
  readonly key?: string;
  readonly inputs: readonly string[];
  readonly resultBytes: number;
  /** Size of all inputs, in bytes; every piece reads them. */
  readonly inputBytes: number;
  /** Names the kind of work, whose pieces take about the same time. */
  readonly work: string;
  /** Failure domain beside which moving inputs or results costs least, if that matters. */
  readonly preferredDomain?: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time by which the stage has to end for the request to meet its objective, on the clock. */
  readonly dueAt: number;
  /** Time after which the results are of no use, on the clock. */
  readonly expiresAt: number;
}

/** Reference to one piece of a task. */
export interface PieceReference {
  readonly taskId: number;
  readonly task: StageTask;
  readonly piece: number;
}

/** A call to make now. */
export interface PlannedCall {
  readonly callId: number;
  readonly server: BackendServer;
  readonly pieces: readonly PieceReference[];
  /** Expected duration, in ms. */
  readonly expectedMs: number;
}

/** What a backend server said of one piece. */
export type PieceOutcome =
  | { readonly kind: 'made'; readonly handle: string }
  | { readonly kind: 'late' | 'input-gone' | 'no-room' | 'failed' };

/** End of a call. */
export type CallOutcome =
  | { readonly kind: 'answered'; readonly pieces: readonly PieceOutcome[] }
  /** Refused by a full server. */
  | { readonly kind: 'not-executed' }
  /** No byte was sent. */
  | { readonly kind: 'unsent' }
  /** The call may have run. */
  | { readonly kind: 'broken' };

/** End of a task. */
export type TaskOutcome =
  | { readonly kind: 'done'; readonly handles: readonly string[] }
  | { readonly kind: 'expired' | 'input-gone' | 'failed' };

/** A task that ended. */
export interface TaskEnd {
  readonly taskId: number;
  readonly outcome: TaskOutcome;
}

/** A task whose pieces are not all made. */
export interface WaitingTask {
  readonly taskId: number;
  readonly task: StageTask;
  /** Pieces that are neither made nor part of a call in progress. */
  readonly waiting: Set<number>;
  readonly handles: Map<number, string>;
  /** On the clock. */
  readonly addedAt: number;
  failures: number;
}

/** Sends of one piece that failed, after which its task fails. */
const MAX_PIECE_FAILURES = 4;

/** Allows a repeat of pieces, or not. */
export type RepeatPermission = (pieces: number) => boolean;

/**
 * Batches the pieces of one stage service into calls.
 *
 * Answers this load pattern: many requests with a few pieces each, a large fixed time a call, and
 * bursts in which more pieces arrive than full calls can carry. Every free server takes at once
 * what waits, so calls fill by themselves under load. Requests that can still meet their objective
 * go first, by priority and then by slack; those that cannot end before their deadline are dropped.
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
   * @param capacity - how servers of this service work
   * @param mayRepeat - asked before pieces are sent once more
   */
  constructor(
    private readonly clock: Clock,
    private capacity: StageCapacity,
    private readonly mayRepeat: RepeatPermission,
  ) {
    this.pieceTimes = new PieceTimes(() => this.capacity);
  }

  /** Follows a new configuration. */
  updateCapacity(capacity: StageCapacity): void {
    this.capacity = capacity;
  }

  /** Sets the servers that may get calls. */
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
   * Adds a task. Its id is given here: tasks come from several processes, and two with one id would
   * get each other's results.
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
   * Forgets a task whose request ended.
   * @returns handles made for it
   */
  cancel(taskId: number): string[] {
    const entry = this.tasks.get(taskId);
    this.tasks.delete(taskId);
    return [...(entry?.handles.values() ?? [])];
  }

  get waitingPieces(): number {
    return [...this.tasks.values()].reduce((sum, { waiting }) => sum + waiting.size, 0);
  }

  get isEmpty(): boolean {
    return this.tasks.size === 0;
  }

  /** @returns time in which everything that waits could be started, in ms */
  get backlogMs(): number {
    const usable = [...this.servers.values()].filter((state) => state.isHealthy(this.clock.now()));
    if (usable.length === 0) return this.capacity.callMs;
    const { batchSize } = this.capacity;
    const cycles = this.waitingPieces / (batchSize * usable.length);
    return cycles * this.callMs(batchSize);
  }

  /**
   * Tasks behind more work than can be done before their expiry end at once, not when it is over.
   * @returns tasks that can't end in time; they are forgotten
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

  /** @returns calls to make now; their servers count as busy until {@link finishCall} */
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

  /** @returns time at which {@link plan} may start more calls without any event, on the clock */
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
   * Takes the end of a call.
   * @returns tasks that ended with it
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

  /** @returns results of tasks that had ended before, which nobody reads */
  takeOrphans(): string[] {
    const taken = this.orphans;
    this.orphans = [];
    return taken;
  }

  /** Frees the memory of released results. */
  release(serverId: string, handles: readonly string[]): void {
    this.servers.get(serverId)?.release(handles);
  }

  private callMs(pieces: number): number {
    return this.capacity.callMs + pieces * this.capacity.pieceMs;
  }

  private inOrder(now: number): WaitingTask[] {
    // Calls are seldom as short as the task alone would be.
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

  /** Puts pieces back that no server received. */
  private putBack(references: readonly PieceReference[]): TaskEnd[] {
    references.forEach(({ taskId, piece }) => this.tasks.get(taskId)?.waiting.add(piece));
    return [];
  }

  /** Puts pieces back to be sent once more, or ends their tasks. */
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
