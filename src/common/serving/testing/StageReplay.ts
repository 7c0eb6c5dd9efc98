/** Replays the arrivals of stage tasks on a {@link StageQueue} with simulated servers. */
import { SeededRandom } from '../../time/SeededRandom.js';
import type { BackendServer, StageCapacity } from '../ServingConfiguration.js';
import { ManualClock } from './ManualClock.js';
import { createStageRules } from './fixtures.js';
import { StageQueue } from '../StageQueue.js';
import type { EndedTask, PlannedCall, StageTask } from '../Types.js';

/** A task that arrives at the queue. */
export interface Arrival {
  /** On the clock, in ms. */
  readonly at: number;
  readonly task: StageTask;
}

/** A replayed task that has ended. */
export interface ReplayedTask {
  readonly task: StageTask;
  readonly outcome: string;
  /** Time from arrival to end, service time included, in ms. */
  readonly latencyMs: number;
  /** Size of the inputs read from another failure domain, in bytes. */
  readonly remoteBytes: number;
}

/**
 * Generates arrivals in bursts with exponentially distributed times between them.
 * @returns arrivals in order of time
 */
export function generateArrivals(options: {
  /** Seed of the random numbers. */
  readonly seed: number;
  /** Mean number of tasks per second. */
  readonly ratePerS: number;
  /** Time until which bursts are generated, in ms; the last one comes at or after it. */
  readonly durationMs: number;
  /** Number of tasks in each burst. */
  readonly burstSize: number;
  /** Creates the task that arrives at a time, with random numbers at least 0 and below 1. */
  readonly task: (at: number, random: () => number) => StageTask;
}): Arrival[] {
  const source = new SeededRandom(options.seed);
  const random = () => source.next();
  const arrivals: Arrival[] = [];
  let at = 0;
  while (at < options.durationMs) {
    at += -Math.log(1 - random()) * ((1000 * options.burstSize) / options.ratePerS);
    for (let index = 0; index < options.burstSize; index += 1) {
      arrivals.push({ at, task: options.task(at, random) });
    }
  }
  return arrivals;
}

interface PendingCall {
  readonly call: PlannedCall;
  /** On the clock, in ms. */
  readonly endsAt: number;
}

/**
 * Replays arrivals until all tasks have ended.
 * @param arrivals - arrivals in order of time
 * @param capacity - capacity of each server
 * @param servers - servers of the service
 * @param pieceMs - returns the actual time of a piece of the task, in ms
 * @returns the tasks in the order in which they ended
 */
export function replayStage(
  arrivals: readonly Arrival[],
  capacity: StageCapacity,
  servers: readonly BackendServer[],
  pieceMs: (task: StageTask) => number = () => capacity.pieceMs,
): ReplayedTask[] {
  return new StageReplay(arrivals, capacity, servers, pieceMs).run();
}

/** Step of the clock while the remaining tasks only wait for their expiry, in ms. */
const IDLE_STEP_MS = 20;

class StageReplay {
  private readonly clock = new ManualClock();

  private readonly queue: StageQueue;

  private readonly arrivalsByTask = new Map<number, Arrival>();

  private readonly remoteBytes = new Map<number, number>();

  private readonly ends: ReplayedTask[] = [];

  private calls: PendingCall[] = [];

  private nextArrival = 0;

  private handleCount = 0;

  constructor(
    private readonly arrivals: readonly Arrival[],
    private readonly capacity: StageCapacity,
    private readonly servers: readonly BackendServer[],
    private readonly pieceMs: (task: StageTask) => number,
  ) {
    this.queue = new StageQueue(this.clock, capacity, createStageRules(this.clock));
    this.queue.updateServers(servers);
  }

  run(): ReplayedTask[] {
    while (this.hasWork) {
      const next = this.nextEventAt();
      this.clock.set(next === Infinity ? this.clock.now() + IDLE_STEP_MS : next);
      this.enqueueArrivals();
      this.finishCalls();
      this.recordEnds(this.queue.removeExpired());
      this.queue.plan().forEach((call) => this.startCall(call));
    }
    return this.ends;
  }

  private get hasWork(): boolean {
    const hasArrivals = this.nextArrival < this.arrivals.length;
    return hasArrivals || this.calls.length > 0 || !this.queue.isEmpty;
  }

  private nextEventAt(): number {
    const planAt = this.queue.nextPlanAt ?? Infinity;
    return Math.min(
      this.arrivals[this.nextArrival]?.at ?? Infinity,
      ...this.calls.map(({ endsAt }) => endsAt),
      planAt > this.clock.now() ? planAt : Infinity,
    );
  }

  private enqueueArrivals(): void {
    const now = this.clock.now();
    while ((this.arrivals[this.nextArrival]?.at ?? Infinity) <= now) {
      const arrival = this.arrivals[this.nextArrival]!;
      this.arrivalsByTask.set(this.queue.add(arrival.task), arrival);
      this.nextArrival += 1;
    }
  }

  private startCall(call: PlannedCall): void {
    const workMs = call.pieces.reduce((sum, { task }) => sum + this.pieceMs(task), 0);
    this.calls.push({ call, endsAt: this.clock.now() + this.capacity.callMs + workMs });
    const domain = call.server.failureDomain;
    call.pieces
      .filter(({ task }) => (task.preferredDomain ?? domain) !== domain)
      .forEach(({ taskId, task }) => {
        const before = this.remoteBytes.get(taskId) ?? 0;
        this.remoteBytes.set(taskId, before + task.inputBytes);
      });
  }

  private finishCalls(): void {
    const now = this.clock.now();
    const ended = this.calls.filter(({ endsAt }) => endsAt <= now);
    this.calls = this.calls.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ call }) => {
      const pieces = call.pieces.map(() => ({ kind: 'made' as const, handle: this.nextHandle() }));
      this.recordEnds(this.queue.finishCall(call.callId, { kind: 'answered', pieces }));
    });
  }

  private recordEnds(taskEnds: readonly EndedTask[]): void {
    taskEnds.forEach(({ taskId, outcome }) => {
      const { at, task } = this.arrivalsByTask.get(taskId)!;
      const latencyMs = this.clock.now() - at;
      const remoteBytes = this.remoteBytes.get(taskId) ?? 0;
      this.ends.push({ task, outcome: outcome.kind, latencyMs, remoteBytes });
      if (outcome.kind !== 'done') return;
      this.servers.forEach(({ id }) => this.queue.release(id, outcome.handles));
    });
  }

  private nextHandle(): string {
    this.handleCount += 1;
    return `result-${this.handleCount}`;
  }
}

/** @returns arithmetic mean of the values; 0 if there are none */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
