import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { StreamFlow } from './StreamFlow.js';

const KEEP_ALIVE = Buffer.from(': keep-alive\n\n');
const HOUR_MS = 3_600_000;

/** @returns flow with a caller that reads nothing if `isSlow`, and what it has done */
function createFlow({ isSlow = false, idleBytesPerS = 1000, streamBytesPerS = 10_000 } = {}) {
  const log = { writes: 0, bytes: 0, reading: [] as string[], reasons: [] as string[] };
  const drainListeners: (() => void)[] = [];
  const time = { now: 0 };
  const flow = new StreamFlow({
    clock: { now: () => time.now, wallTime: () => time.now },
    limits: { idleBytesPerS, streamBytesPerS },
    response: {
      write: (bytes: Buffer) => {
        log.writes += 1;
        log.bytes += bytes.length;
        return !isSlow;
      },
      onDrain: (listener: () => void) => drainListeners.push(listener),
    },
    exchange: () => ({
      pause: () => log.reading.push('pause'),
      resume: () => log.reading.push('resume'),
    }),
    onExcess: (reason) => log.reasons.push(reason),
  });
  return { flow, log, drainListeners, time };
}

describe('StreamFlow', () => {
  it('writes what arrives together at once', async () => {
    // Guards against a write for each small event.
    const { flow, log } = createFlow();
    for (let index = 0; index < 1000; index += 1) flow.send(Buffer.from('\n\n'));
    await sleep(0);
    assert.deepEqual([log.writes, log.bytes], [1, 2000]);
    for (let index = 0; index < 100_000; index += 1) flow.send(Buffer.from('\n\n'));
    await sleep(0);
    assert.equal(log.bytes, 202_000);
    assert.ok(log.writes < 110, `${log.writes} writes`);
  });

  it('has one listener for a caller that reads too slowly', () => {
    const { flow, log, drainListeners } = createFlow({ isSlow: true });
    for (let index = 0; index < 100; index += 1) {
      flow.send(Buffer.from('data: x\n\n'));
      flow.flush();
    }
    assert.equal(drainListeners.length, 1);
    assert.deepEqual(log.reading, ['pause']);
    drainListeners[0]!();
    assert.deepEqual(log.reading, ['pause', 'resume']);
  });

  it('lets comments that keep the connection alive go on, and ends a flood of them', () => {
    // Guards against sound streams that are ended for their keep-alive comments.
    const { flow, log, time } = createFlow();
    for (; time.now < HOUR_MS; time.now += 50) {
      flow.recordReceived(KEEP_ALIVE.length, KEEP_ALIVE.length);
    }
    assert.deepEqual(log.reasons, []);
    flow.recordReceived(2000, 2000);
    assert.equal(log.reasons.length, 1);
    assert.match(log.reasons[0]!, /idleBytesPerS of 1000 bytes/);
  });

  it('reads a stream that is faster than its allowance slowly, and does not end it', async () => {
    const { flow, log, time } = createFlow();
    flow.recordReceived(10_000, 0);
    assert.deepEqual(log.reading, []);
    flow.recordReceived(100, 0);
    assert.deepEqual(log.reading, ['pause']);
    await sleep(30);
    assert.deepEqual(log.reading, ['pause', 'resume']);
    time.now += 1000;
    flow.recordReceived(1000, 0);
    assert.equal(log.reading.length, 2);
    assert.deepEqual(log.reasons, []);
  });

  it('does not resume reading before the caller is ready', async () => {
    const { flow, log, drainListeners } = createFlow({ isSlow: true });
    flow.recordReceived(10_050, 0);
    flow.send(Buffer.from('data: x\n\n'));
    flow.flush();
    await sleep(30);
    assert.ok(!log.reading.includes('resume'));
    drainListeners[0]!();
    assert.equal(log.reading.at(-1), 'resume');
  });

  it('writes what is left when it ends', () => {
    const { flow, log } = createFlow();
    flow.send(Buffer.from('data: x\n\n'));
    flow.dispose();
    assert.deepEqual([log.writes, log.bytes], [1, 9]);
  });
});
