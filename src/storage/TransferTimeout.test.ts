import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { TransferTimeout } from './TransferTimeout.js';

const OPTIONS = { timeoutMs: 5000, stallTimeoutMs: 1000 };

let now = 0;

beforeEach(() => {
  now = 0;
  mock.timers.enable({ apis: ['setTimeout'] });
});

afterEach(() => mock.timers.reset());

/** Lets time pass in steps, with a part of the body after each. */
function receive(timeout: TransferTimeout, parts: number, intervalMs: number): void {
  for (let index = 0; index < parts; index += 1) {
    now += intervalMs;
    mock.timers.tick(intervalMs);
    timeout.recordPart(100);
  }
}

/** @returns time-out of a call, and how often it has expired */
function createTimeout(options: typeof OPTIONS | { timeoutMs: number } = OPTIONS) {
  const counts = { expired: 0 };
  const onExpired = () => {
    counts.expired += 1;
  };
  return { timeout: new TransferTimeout(options, onExpired, () => now), counts };
}

describe('TransferTimeout', () => {
  it('waits for the response for the whole time-out', () => {
    const { counts } = createTimeout();
    mock.timers.tick(4999);
    assert.equal(counts.expired, 0);
    mock.timers.tick(1);
    assert.equal(counts.expired, 1);
  });

  it('lets a body take longer than the time-out as long as it arrives', () => {
    const { timeout, counts } = createTimeout();
    receive(timeout, 9, 900);
    assert.equal(counts.expired, 0);
    timeout.dispose();
  });

  it('ends a body that stalls, sooner than the response may take', () => {
    const { timeout, counts } = createTimeout();
    receive(timeout, 2, 500);
    mock.timers.tick(1000);
    assert.equal(counts.expired, 1);
    assert.match(timeout.description, /200 bytes/);
  });

  it('ends a body that arrives steadily and never ends', () => {
    const { timeout, counts } = createTimeout();
    receive(timeout, 30, 400);
    assert.equal(counts.expired, 1);
  });

  it('covers the whole response without a time-out for stalls', () => {
    const { timeout, counts } = createTimeout({ timeoutMs: 1000 });
    receive(timeout, 3, 400);
    assert.equal(counts.expired, 1);
  });
});
