import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { SeededRandom } from '../time/SeededRandom.js';
import { ServerLimits } from './ServerLimits.js';
import { createServer } from './testing/fixtures.js';
import { ManualClock } from './testing/ManualClock.js';

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;

const server = createServer('server');

function createLimits(share = 1) {
  const clock = new ManualClock();
  return { clock, limits: new ServerLimits(clock, () => share) };
}

/** @returns largest number of times within a window */
function mostInWindow(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, time, index) => {
    while (times[first]! <= time - WINDOW_MS) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
}

/**
 * Replays requests to one limited server from processes that get uneven parts of the load.
 * @returns times of the requests that were sent, in ms
 */
function replayLimit(seed: number, processCount: number, requestsPerS: number): number[] {
  const random = new SeededRandom(seed);
  const clock = new ManualClock();
  const sharers = Math.min(processCount, Math.max(4, Math.floor(requestsPerS)));
  const processes = Array.from(
    { length: processCount },
    (_, index) => new ServerLimits(clock, () => (index < sharers ? 1 / sharers : 0)),
  );
  processes.forEach((process) => process.recordResponse(server.id, requestsPerS));
  const sent: number[] = [];
  for (let now = 0; now < 30_000; now += 5) {
    clock.set(now);
    // Pauses let processes save up requests, which then come at once.
    const isPause = Math.floor(now / 3000) % 2 === 1;
    const index = Math.floor(random.next() ** 2 * processCount);
    const process = processes[index]!;
    if (!isPause && process.mayRequest(server)) {
      process.recordRequest(server);
      sent.push(now);
    }
  }
  return sent;
}

describe('the limit that a server names', () => {
  it('holds in every window for all processes together, in bursts and after pauses', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 0, max: 10_000 }),
        fc.integer({ min: 1, max: 100 }),
        fc.double({ min: 0.2, max: 60, noNaN: true }),
        (seed, processCount, requestsPerS) => {
          const most = mostInWindow(replayLimit(seed, processCount, requestsPerS));
          const allowed = (1.5 * requestsPerS * WINDOW_MS) / MS_PER_SECOND + 5;
          assert.ok(most <= allowed, `${most} in 4 s, ${allowed} allowed`);
        },
      ),
      { numRuns: 100, seed: 26 },
    );
  });

  it('lets the only process use it', () => {
    const sent = replayLimit(1, 1, 10).filter((time) => time < 3000);
    assert.ok(sent.length >= 28, `${sent.length} in 3 s`);
  });

  it('is known to processes that the server did not tell, and so is its end', () => {
    const { clock, limits } = createLimits();
    const peer = new ServerLimits(clock, () => 1);
    limits.recordResponse('server', 2);
    peer.merge(limits.reports);
    assert.equal(peer.requestsPerS('server'), 2);
    assert.equal(peer.mayRequest(server), false);
    clock.set(5000);
    limits.recordResponse('server', undefined);
    peer.merge(limits.reports);
    assert.equal(peer.mayRequest(server), true);
  });

  it('is not ended by a response that was created before it was named', () => {
    const { clock, limits } = createLimits();
    limits.recordResponse('server', 2);
    clock.set(100);
    limits.recordResponse('server', undefined);
    assert.equal(limits.requestsPerS('server'), 2);
    clock.set(2000);
    limits.recordResponse('server', undefined);
    assert.equal(limits.requestsPerS('server'), undefined);
  });

  it('is as of the newest response that any process got', () => {
    const { clock, limits } = createLimits();
    const peer = new ServerLimits(clock, () => 1);
    limits.recordResponse('server', 2);
    clock.set(500);
    peer.recordResponse('server', 4);
    limits.merge(peer.reports);
    peer.merge(limits.reports);
    assert.deepEqual(
      [limits, peer].map((each) => each.requestsPerS('server')),
      [4, 4],
    );
  });

  it('is reported only by the processes that the server told', () => {
    // Relayed reports would be younger at each process and replace newer ones.
    const { clock, limits } = createLimits();
    const peer = new ServerLimits(clock, () => 1);
    limits.recordResponse('server', 2);
    peer.merge(limits.reports);
    assert.deepEqual(peer.reports, {});
  });

  it('tells when a request may be sent, also to a process without a share', () => {
    const { limits } = createLimits(0.5);
    limits.recordResponse('server', 2);
    assert.equal(limits.waitMs(server), 1000);
    const { limits: withoutShare } = createLimits(0);
    withoutShare.recordResponse('server', 2);
    assert.equal(withoutShare.mayRequest(server), false);
    assert.equal(withoutShare.waitMs(server), 500);
  });

  it('lets a request through now and then even if it is 0, which shows when it has ended', () => {
    const { clock, limits } = createLimits();
    limits.recordResponse('server', 0);
    assert.equal(limits.waitMs(server), 5000);
    clock.set(5000);
    assert.equal(limits.mayRequest(server), true);
    limits.recordRequest(server);
    assert.equal(limits.mayRequest(server), false);
  });

  it('is remembered for a bounded number of servers', () => {
    const { limits } = createLimits();
    for (let index = 0; index < 5000; index += 1) limits.recordResponse(`server-${index}`, 1);
    assert.equal(Object.keys(limits.reports).length, 1000);
    assert.equal(limits.requestsPerS('server-4999'), 1);
  });
});
