/** Processes that share the rate of cold servers, for replays of load. */
import { ProcessShares } from '../ProcessShares.js';
import { ServerStatements } from '../ServerStatements.js';
import type { BackendServer, ColdCapacity } from '../ServingConfiguration.js';
import { ManualClock } from './ManualClock.js';

const STEP_MS = 5;
const HEARTBEAT_INTERVAL_MS = 250;
const HEARTBEAT_TIMEOUT_MS = 1100;
const CHECK_INTERVAL_MS = 100;
const MS_PER_SECOND = 1000;

/** Bounds of the platform and what a small service takes. */
export const COLD_BOUNDS = { over: 1.5, slack: 5 };
export const COLD_CAPACITY: ColdCapacity = { durationMs: 8000, requestsPerS: 9.1 };

/** @returns most requests that a cold server may get in a second */
export const coldBound = ({ requestsPerS }: ColdCapacity): number =>
  requestsPerS * COLD_BOUNDS.over + COLD_BOUNDS.slack;

/** One process of the replay. */
export interface ColdProcess {
  readonly id: string;
  readonly shares: ProcessShares;
  readonly statements: ServerStatements;
  /** Time of the last heartbeat from each other process, in ms. */
  readonly heardAt: Map<string, number>;
  isRunning: boolean;
}

/** Options of {@link createColdFleet}. */
export interface ColdFleetOptions {
  readonly count: number;
  readonly capacity?: ColdCapacity;
  /** Whether one process sends for all, as for stage services. */
  readonly isStage?: boolean;
}

/** The processes and the time of a replay. */
export interface ColdFleet {
  readonly clock: ManualClock;
  readonly processes: readonly ColdProcess[];
}

/** @returns processes that have not read the member table yet */
export function createColdFleet(options: ColdFleetOptions): ColdFleet {
  const clock = new ManualClock();
  const processes = Array.from({ length: options.count }, (_, index) =>
    createProcess(clock, `process-${index}`, options),
  );
  return { clock, processes };
}

function createProcess(
  clock: ManualClock,
  id: string,
  { capacity = COLD_CAPACITY, isStage = false }: ColdFleetOptions,
): ColdProcess {
  const heardAt = new Map<string, number>();
  const shares = new ProcessShares(clock, id, () => false);
  const isLive = (peer: string) =>
    clock.now() - (heardAt.get(peer) ?? -Infinity) < HEARTBEAT_TIMEOUT_MS;
  const isBatching = () => [...heardAt.keys()].every((peer) => peer > id || !isLive(peer));
  const stageShare = (server: string, maxSharers: number) =>
    isBatching() ? shares.shareOfLive(server, maxSharers, isLive) : 0;
  const statements = new ServerStatements({
    clock,
    random: () => 0,
    departureBounds: { graceMs: 1500, registrationLifetimeMs: 5000 },
    limitShareOf: () => 1,
    cold: {
      bounds: COLD_BOUNDS,
      capacityOf: () => capacity,
      shareOf: (server, maxSharers) =>
        isStage ? stageShare(server.id, maxSharers) : shares.share(server.id, maxSharers),
    },
  });
  return { id, shares, statements, heardAt, isRunning: true };
}

/** Shows the running processes the rows of all running processes. */
export function readMembers({ processes }: ColdFleet): void {
  const running = processes.filter(({ isRunning }) => isRunning);
  running.forEach(({ shares }) => running.forEach(({ id }) => shares.recordRow(id)));
}

/** Options of {@link runFleet}. */
export interface RunOptions {
  readonly forMs: number;
  /** @returns whether heartbeats pass from one process to another; by default, all do */
  readonly canReach?: (from: ColdProcess, to: ColdProcess) => boolean;
  /** Called every 5 ms. */
  readonly onStep?: (now: number) => void;
}

/** Advances the time with heartbeats and checks, as in running processes. */
export function runFleet(
  { clock, processes }: ColdFleet,
  { forMs, canReach = () => true, onStep }: RunOptions,
): void {
  const endsAt = clock.now() + forMs;
  for (let now = clock.now() + STEP_MS; now <= endsAt; now += STEP_MS) {
    clock.set(now);
    const running = processes.filter(({ isRunning }) => isRunning);
    if (now % HEARTBEAT_INTERVAL_MS === 0) {
      running.forEach((from) =>
        running
          .filter((to) => to !== from && canReach(from, to))
          .forEach((to) => receiveHeartbeat(from, to, now)),
      );
    }
    if (now % CHECK_INTERVAL_MS === 0) running.forEach(({ statements }) => statements.check());
    onStep?.(now);
  }
}

function receiveHeartbeat(from: ColdProcess, to: ColdProcess, now: number): void {
  to.heardAt.set(from.id, now);
  to.shares.recordHeartbeat(from.id, false);
  to.statements.cold!.merge(from.statements.cold!.reports);
}

/** Sends a request from each process that may send one. @returns number of requests */
export function sendGreedily(
  processes: readonly ColdProcess[],
  server: BackendServer,
  maxEach = 1,
): number {
  let sent = 0;
  processes.forEach(({ statements, isRunning }) => {
    for (let index = 0; isRunning && index < maxEach && statements.mayRequest(server); index += 1) {
      statements.recordRequest(server);
      sent += 1;
    }
  });
  return sent;
}

/** Counts requests by the time at which they were sent. */
export class RequestCount {
  private readonly times: number[] = [];

  record(now: number, count: number): void {
    for (let index = 0; index < count; index += 1) this.times.push(now);
  }

  get total(): number {
    return this.times.length;
  }

  /** @returns most requests in one second between two times, in ms */
  mostInSecond(fromMs = -Infinity, toMs = Infinity): number {
    const times = this.times.filter((time) => time >= fromMs && time < toMs);
    let first = 0;
    return times.reduce((most, time, index) => {
      while (times[first]! <= time - MS_PER_SECOND) first += 1;
      return Math.max(most, index - first + 1);
    }, 0);
  }
}
