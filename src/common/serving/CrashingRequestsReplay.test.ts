import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandom } from '../time/SeededRandom.js';
import { CrashingRequests } from './CrashingRequests.js';
import { ManualClock } from './testing/ManualClock.js';

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

const PROCESSES = 5;
const SERVERS = 4;
const RUN_MS = 60;
const RESTART_MS = 1300;
const HEARTBEAT_INTERVAL_MS = 250;
const STEP_MS = 5;
const DAY_MS = 40_000;

/** Time in which the processes have to know a request after its third crash, in ms. */
const CONTACT_MS = 3000;

/** Servers that one attempt of a caller is sent to, and attempts of a caller. */
const SENDS_PER_ATTEMPT = 2;
const ATTEMPTS_PER_CALLER = 2;

/** Sound requests per second, and number of different ones; copies are asked for at the same time. */
const SOUND_PER_S = 30;
const SOUND_KINDS = 200;

interface Send {
  readonly request: string;
  readonly process: number;
  readonly sentAt: number;
  /** Sends and attempts that are left if this one is lost. */
  readonly sendsLeft: number;
  readonly attemptsLeft: number;
}

interface Server {
  id: string;
  runsAgainAt: number;
  running: Send[];
}

/** Result of a replay. */
interface Replay {
  readonly crashTimes: readonly number[];
  readonly badSendTimes: readonly number[];
  /** Sound requests that were refused. */
  readonly refusedSound: number;
  readonly servedSound: number;
}

/**
 * Replays a request that ends each server, which its caller repeats every few seconds at any process,
 * among sound requests on the same servers; and an outage of all servers.
 * @param seed - of the times and choices
 * @param badEveryMs - time between two callers of the bad request, in ms; undefined for none
 */
function replay(seed: number, badEveryMs: number | undefined): Replay {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const processes = Array.from({ length: PROCESSES }, () => new CrashingRequests(clock));
  const servers: Server[] = Array.from({ length: SERVERS }, (_, index) => ({
    id: `s${index}`,
    runsAgainAt: 0,
    running: [],
  }));
  const crashTimes: number[] = [];
  const badSendTimes: number[] = [];
  let refusedSound = 0;
  let servedSound = 0;
  let restarts = 0;
  const pick = (count: number) => Math.floor(random.next() * count);
  const send = (order: Omit<Send, 'sentAt'>) => {
    const now = clock.now();
    const isBad = order.request === 'bad';
    if (processes[order.process]!.find(order.request)) {
      if (!isBad) refusedSound += 1;
      return;
    }
    const usable = servers.filter(({ runsAgainAt }) => runsAgainAt <= now);
    if (usable.length === 0) return;
    if (isBad) badSendTimes.push(now);
    usable[pick(usable.length)]!.running.push({ ...order, sentAt: now });
  };
  const lose = (lost: Send, server: string) => {
    const { request, process, sendsLeft, attemptsLeft, sentAt } = lost;
    processes[process]!.recordCrash(server, request, clock.now() - sentAt);
    if (sendsLeft > 1) send({ ...lost, sendsLeft: sendsLeft - 1 });
    else if (attemptsLeft > 1) {
      const next = { request, process: pick(PROCESSES), attemptsLeft: attemptsLeft - 1 };
      send({ ...next, sendsLeft: SENDS_PER_ATTEMPT });
    }
  };
  const end = (server: Server) => {
    const { id, running } = server;
    restarts += 1;
    Object.assign(server, {
      id: `r${restarts}`,
      running: [],
      runsAgainAt: clock.now() + RESTART_MS,
    });
    running.forEach((lost) => lose(lost, id));
  };
  const caller = { sendsLeft: SENDS_PER_ATTEMPT, attemptsLeft: ATTEMPTS_PER_CALLER };
  const outageAt = DAY_MS / 2 + pick(1000);
  let nextBadAt = 1000;
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    clock.set(now);
    for (const server of servers) {
      const done = server.running.filter(({ sentAt }) => now - sentAt >= RUN_MS);
      if (done.some(({ request }) => request === 'bad')) {
        crashTimes.push(now);
        end(server);
        continue;
      }
      done.forEach(({ process, request }) => processes[process]!.recordCompletion(request));
      servedSound += done.length;
      Object.assign(server, { running: server.running.filter((run) => !done.includes(run)) });
    }
    // All servers end within a moment, as when their machines lose power.
    servers.forEach((server, index) => now === outageAt + index * STEP_MS && end(server));
    if (badEveryMs !== undefined && now >= nextBadAt) {
      send({ ...caller, request: 'bad', process: pick(PROCESSES) });
      nextBadAt = now + badEveryMs * (0.5 + random.next());
    }
    if (random.next() < (SOUND_PER_S * STEP_MS) / 1000) {
      // Popular requests come several times at once.
      const request = `sound-${Math.floor(SOUND_KINDS * random.next() ** 3)}`;
      const copies = random.next() < 0.1 ? PROCESSES : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        send({ ...caller, request, process: pick(PROCESSES) });
      }
    }
    if (now % HEARTBEAT_INTERVAL_MS === 0) {
      const messages = processes.map(({ evidence }) => evidence);
      processes.forEach((process, index) =>
        messages.forEach((message, sender) => sender !== index && process.merge(message)),
      );
    }
  }
  return { crashTimes, badSendTimes, refusedSound, servedSound };
}

describe('a request that ends servers among sound ones', () => {
  [400, 2000, 4000].forEach((badEveryMs) => {
    it(`is hardly sent any more if it comes every ${badEveryMs} ms`, () => {
      SEEDS.forEach((seed) => {
        const { crashTimes, badSendTimes, refusedSound, servedSound } = replay(seed, badEveryMs);
        const knownAt = crashTimes[2]! + CONTACT_MS;
        const late = badSendTimes.filter((at) => at > knownAt).length;
        assert.ok(late <= 3, `seed ${seed}: ${late} late sends`);
        assert.ok(refusedSound <= servedSound / 200, `seed ${seed}: ${refusedSound} refused`);
      });
    });
  });
});

describe('sound requests', () => {
  it('are not refused because of an outage', () => {
    SEEDS.forEach((seed) => {
      const { refusedSound } = replay(seed, undefined);
      assert.equal(refusedSound, 0, `seed ${seed}`);
    });
  });
});
