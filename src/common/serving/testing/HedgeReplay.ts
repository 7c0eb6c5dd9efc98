/** Replays requests to simulated servers with hedges that a {@link HedgePolicy} allows. */
import { SeededRandom } from '../../time/SeededRandom.js';
import { HedgePolicy } from '../HedgePolicy.js';
import { HedgeSettings } from '../HedgeSettings.js';
import { ManualClock } from './ManualClock.js';

/** How a server answers one request. */
export interface SimulatedAnswer {
  /** In ms; Infinity if the answer is lost. */
  readonly afterMs: number;
  readonly isFailure?: boolean;
}

/** Load and servers of a replay. */
export interface HedgeReplayOptions {
  readonly settings?: Partial<HedgeSettings>;
  readonly servers?: number;
  readonly slots?: number;
  readonly answer: (server: number, at: number, random: () => number) => SimulatedAnswer;
}

/** A hedge of a replay. */
export interface ReplayedHedge {
  /** In ms. */
  readonly at: number;
  /** Share of the slots that were in use. */
  readonly load: number;
}

/** What the callers and servers of a replay have seen. */
export interface HedgeReplayResult {
  readonly requests: number;
  /** Latency of each request, in ms, in ascending order; the deadline for those without an answer. */
  readonly latencies: readonly number[];
  readonly hedges: readonly ReplayedHedge[];
}

export const REPLAY_DEADLINE_MS = 2000;
export const REPLAY_DURATION_MS = 60_000;
const REQUESTS_PER_S = 50;
const WORK = { route: 'lookup', service: 'plain' };

interface SimulatedRequest {
  readonly startedAt: number;
  /** Server and start of each send in progress. */
  readonly sends: Map<number, number>;
  tried: number;
  isDone: boolean;
}

/** Replays a minute of requests, each sent to the server with the fewest running requests. */
export function replayHedges({
  settings = {},
  servers = 10,
  slots = 6,
  answer,
}: HedgeReplayOptions): HedgeReplayResult {
  const clock = new ManualClock();
  const source = new SeededRandom(5);
  const random = () => source.next();
  const policy = new HedgePolicy(clock, HedgeSettings.parse(settings));
  const running = Array.from({ length: servers }, () => 0);
  const latencies: number[] = [];
  const hedges: ReplayedHedge[] = [];
  const events: { at: number; run: () => void }[] = [];
  const schedule = (at: number, run: () => void) => {
    const index = events.findLastIndex((event) => event.at <= at) + 1;
    events.splice(index, 0, { at, run });
  };
  const choose = (ids: readonly number[]) =>
    [...ids].sort((left, right) => running[left]! - running[right]! || random() - 0.5)[0];
  const allServers = running.map((_, id) => id);

  const finish = (request: SimulatedRequest) => {
    if (request.isDone) return;
    Object.assign(request, { isDone: true });
    latencies.push(clock.now() - request.startedAt);
    request.sends.forEach((_, id) => {
      running[id]! -= 1;
    });
  };
  const end = (request: SimulatedRequest, id: number, isFailure: boolean) => {
    if (request.isDone) return;
    if (!isFailure) {
      const [first, hedge] = [...request.sends];
      policy.recordLatency(WORK, clock.now() - request.sends.get(id)!);
      if (hedge?.[0] === id) policy.recordLatency(WORK, clock.now() - first![1]);
      finish(request);
      return;
    }
    running[id]! -= 1;
    request.sends.delete(id);
    const other = choose(allServers.filter((server) => server !== id));
    if (request.sends.size === 0 && request.tried < 2) send(request, other!);
  };
  const send = (request: SimulatedRequest, id: number) => {
    running[id]! += 1;
    Object.assign(request, { tried: request.tried + 1 });
    request.sends.set(id, clock.now());
    const { afterMs, isFailure = false } = answer(id, clock.now(), random);
    if (afterMs < Infinity) schedule(clock.now() + afterMs, () => end(request, id, isFailure));
  };
  const arrive = () => {
    policy.recordRequest(WORK.service);
    const request = { startedAt: clock.now(), sends: new Map(), tried: 0, isDone: false };
    const plan = policy.planOf(WORK, REPLAY_DEADLINE_MS);
    send(request, choose(allServers)!);
    schedule(clock.now() + REPLAY_DEADLINE_MS, () => finish(request));
    if (!plan) return;
    schedule(clock.now() + plan.delayMs, () => {
      const isSlow = !request.isDone;
      policy.recordSend(WORK.service, isSlow);
      if (!isSlow || request.tried > 1) return;
      const candidates = running.map((count, id) => ({
        id: `${id}`,
        slots,
        running: count,
        isUnrestricted: !request.sends.has(id),
      }));
      const remainingMs = request.startedAt + REPLAY_DEADLINE_MS - clock.now();
      const targets = policy.targetsOf(WORK.service, candidates, remainingMs, plan);
      const target = choose([...targets].map(Number));
      if (target === undefined) return;
      policy.recordHedge(WORK.service);
      const inUse = running.reduce((sum, count) => sum + count, 0);
      hedges.push({ at: clock.now(), load: inUse / (servers * slots) });
      send(request, target);
    });
  };

  let arrivesAt = 0;
  while (arrivesAt < REPLAY_DURATION_MS) {
    schedule(arrivesAt, arrive);
    arrivesAt += -Math.log(1 - random()) * (1000 / REQUESTS_PER_S);
  }
  for (let event = events.shift(); event; event = events.shift()) {
    clock.set(event.at);
    event.run();
  }
  latencies.sort((left, right) => left - right);
  return { requests: latencies.length, latencies, hedges };
}

/** @returns latency below which the share of the requests is answered, in ms */
export function latencyAt({ latencies }: HedgeReplayResult, share: number): number {
  return latencies[Math.floor(latencies.length * share)]!;
}
