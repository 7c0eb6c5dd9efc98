/** Replays recorded or drawn arrivals of stage tasks on a {@link StageQueue} with simulated servers. */
import { SeededRandom } from '../../time/SeededRandom.js';
import type { Clock } from '../../time/Types.js';
import type { BackendServer, StageCapacity } from '../ServingConfiguration.js';
import { StageQueue, type PlannedCall, type StageTask } from '../StageQueue.js';

/** Clock that tests set. */
export class ManualClock implements Clock {
  constructor(private current = 0) {}

  now(): number {
    return this.current;
  }

  wallTime(): number {
    return this.current;
  }

  set(time: number): void {
    this.current = time;
  }
}

/** An arrival at the queue. */
export interface Arrival {
  readonly at: number;
  readonly task: StageTask;
}

/** End of a replayed task. */
export interface ReplayEnd {
  readonly task: StageTask;
  readonly outcome: string;
  /** Time from arrival to end, in ms. */
  readonly waitedMs: number;
  /** Bytes of inputs that were read from another failure domain. */
  readonly remoteBytes: number;
}

/** Capacity like that of a retrieval service with a large fixed time a call. */
export function createCapacity(overrides: Partial<StageCapacity> = {}): StageCapacity {
  return {
    concurrentCalls: 1,
    batchSize: 12,
    callMs: 150,
    pieceMs: 10,
    resultRoomBytes: 75_000_000,
    resultRetentionMs: 4000,
    ...overrides,
  };
}

export function createServer(id: string, overrides: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    service: 'retrieval',
    address: `10.0.0.${id.replace(/\D/g, '') || '1'}:80`,
    failureDomain: 'north',
    slots: 1,
    isDraining: false,
    ...overrides,
  };
}

export function createTask(overrides: Partial<StageTask> = {}): StageTask {
  return {
    attemptId: 'attempt',
    stage: 0,
    pieces: 1,
    key: 'key',
    inputs: [],
    resultBytes: 8000,
    inputBytes: 0,
    work: 'route/0',
    priority: 1,
    dueAt: 1000,
    expiresAt: 5000,
    ...overrides,
  };
}

/** Draws arrivals in clumps: the time between clumps is exponential. */
export function drawArrivals(options: {
  readonly seed: number;
  readonly ratePerS: number;
  readonly forMs: number;
  readonly clump: number;
  readonly task: (at: number, random: () => number) => StageTask;
}): Arrival[] {
  const source = new SeededRandom(options.seed);
  const random = () => source.next();
  const arrivals: Arrival[] = [];
  let at = 0;
  while (at < options.forMs) {
    at += -Math.log(1 - random()) * ((1000 * options.clump) / options.ratePerS);
    for (let index = 0; index < options.clump; index += 1) {
      arrivals.push({ at, task: options.task(at, random) });
    }
  }
  return arrivals;
}

interface PendingCall {
  readonly call: PlannedCall;
  readonly endsAt: number;
}

/**
 * Replays arrivals until all have ended.
 * @param arrivals - in order of time
 * @param capacity - of each server
 * @param servers - servers of the service
 * @param pieceMs - true time of a piece
 */
export function replayStage(
  arrivals: readonly Arrival[],
  capacity: StageCapacity,
  servers: readonly BackendServer[],
  pieceMs: (task: StageTask) => number = () => capacity.pieceMs,
): ReplayEnd[] {
  const clock = new ManualClock();
  const queue = new StageQueue(clock, capacity, () => true);
  queue.updateServers(servers);
  const arrivedAt = new Map<number, Arrival>();
  const remote = new Map<number, number>();
  const ends: ReplayEnd[] = [];
  let calls: PendingCall[] = [];
  let nextArrival = 0;
  let handles = 0;
  const finish = (taskEnds: ReturnType<StageQueue['takeExpired']>) =>
    taskEnds.forEach(({ taskId, outcome }) => {
      const { at, task } = arrivedAt.get(taskId)!;
      const remoteBytes = remote.get(taskId) ?? 0;
      ends.push({ task, outcome: outcome.kind, waitedMs: clock.now() - at, remoteBytes });
      if (outcome.kind !== 'done') return;
      servers.forEach(({ id }) => queue.release(id, outcome.handles));
    });
  const advance = () => {
    finish(queue.takeExpired());
    queue.plan().forEach((call) => {
      const workMs = call.pieces.reduce((sum, { task }) => sum + pieceMs(task), capacity.callMs);
      calls.push({ call, endsAt: clock.now() + workMs });
      call.pieces.forEach(({ taskId, task }) => {
        const isRemote =
          (task.inputDomain ?? call.server.failureDomain) !== call.server.failureDomain;
        if (isRemote) remote.set(taskId, (remote.get(taskId) ?? 0) + task.inputBytes);
      });
    });
  };
  while (nextArrival < arrivals.length || calls.length > 0 || !queue.isEmpty) {
    const planAt = queue.nextPlanAt;
    const times = [
      arrivals[nextArrival]?.at ?? Infinity,
      ...calls.map(({ endsAt }) => endsAt),
      planAt !== undefined && planAt > clock.now() ? planAt : Infinity,
    ];
    const next = Math.min(...times);
    // Nothing left but tasks that wait for their expiry.
    clock.set(next === Infinity ? clock.now() + 20 : next);
    const now = clock.now();
    while ((arrivals[nextArrival]?.at ?? Infinity) <= now) {
      const arrival = arrivals[nextArrival]!;
      arrivedAt.set(queue.add(arrival.task), arrival);
      nextArrival += 1;
    }
    const ended = calls.filter(({ endsAt }) => endsAt <= now);
    calls = calls.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ call }) => {
      const pieces = call.pieces.map(() => {
        handles += 1;
        return { kind: 'made' as const, handle: `h${handles}` };
      });
      finish(queue.finishCall(call.callId, { kind: 'answered', pieces }));
    });
    advance();
  }
  return ends;
}

/** @returns mean of a figure */
export function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
