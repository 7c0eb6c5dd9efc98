import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServerPauses } from './ServerPauses.js';
import { ManualClock } from './testing/ManualClock.js';
import { createServer } from './testing/fixtures.js';

const PAUSE_MS = 3000;

/** @returns pauses of a process that returns `spread` (0 to 1) of the longest delay after the end */
function createPauses(spread = 0) {
  const clock = new ManualClock();
  return { clock, pauses: new ServerPauses(clock, () => spread) };
}

describe('ServerPauses', () => {
  it('keeps the longer of two pauses that overlap', () => {
    const { clock, pauses } = createPauses();
    const server = createServer('s1');
    pauses.record(server, PAUSE_MS);
    clock.set(1000);
    pauses.record(server, 500);
    clock.set(PAUSE_MS - 1);
    assert.ok(pauses.waitMs(server) > 0);
    clock.set(PAUSE_MS);
    assert.equal(pauses.waitMs(server), 0);
  });

  it('keeps a pause after the registration was removed, but not after a restart', () => {
    const { pauses } = createPauses();
    const server = createServer('s1', { startedAtMs: 1 });
    pauses.record(server, PAUSE_MS);
    pauses.forget(server);
    assert.ok(pauses.waitMs(server) > 0);
    assert.equal(pauses.waitMs({ ...server, startedAtMs: 2 }), 0);
  });

  it('bounds absurd pauses and the number of servers', () => {
    const { clock, pauses } = createPauses();
    const server = createServer('s1');
    pauses.record(server, 1e12);
    assert.equal(pauses.waitMs(server), 60_000);
    for (let index = 0; index < 1500; index += 1) {
      pauses.record(createServer(`other-${index}`), PAUSE_MS);
    }
    assert.equal(pauses.waitMs(server), 0);
    assert.equal(pauses.count, 1000);
    clock.set(PAUSE_MS);
    assert.equal(pauses.count, 0);
  });

  it('lets the requests of many processes return one by one', () => {
    // Load pattern: 100 processes with 20 waiting requests each for a server whose pause ends.
    const processes = Array.from({ length: 100 }, (_, index) => createPauses(index / 100));
    const server = createServer('s1');
    processes.forEach(({ pauses }) => pauses.record(server, PAUSE_MS));
    const sentAt: number[] = [];
    for (let now = 0; now < PAUSE_MS + 3000; now += 10) {
      processes.forEach(({ clock, pauses }) => {
        clock.set(now);
        for (let request = 0; request < 20; request += 1) {
          if (pauses.waitMs(server) > 0) return;
          pauses.recordRequest(server);
          if (now < PAUSE_MS + 1500) sentAt.push(now);
        }
      });
    }
    assert.ok(Math.min(...sentAt) >= PAUSE_MS);
    const inFirst = (ms: number) => sentAt.filter((at) => at < PAUSE_MS + ms).length;
    assert.ok(inFirst(100) <= 30, `${inFirst(100)} in 100 ms`);
    assert.ok(inFirst(500) <= 350, `${inFirst(500)} in 500 ms`);
  });
});
