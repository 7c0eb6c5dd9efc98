import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServerRecords } from './ServerRecords.js';
import { ManualClock } from './testing/ManualClock.js';

function createRecords(): ServerRecords {
  return new ServerRecords(new ManualClock());
}

describe('ServerRecords', () => {
  it('counts the requests and tokens on a server', () => {
    const records = createRecords();
    const [first] = [records.begin('a', 100), records.begin('a', 50)];
    first.markPrefilled();
    assert.deepEqual(records.engineLoads(), { a: [2, 50] });
    first.end();
    assert.deepEqual(records.engineLoads(), { a: [1, 50] });
  });

  it('does not count the ends of requests that a server lost when it was removed or restarted', () => {
    // Guards against a count below zero, for which a server gets more than its share for ever.
    const records = createRecords();
    const lost = Array.from({ length: 10 }, () => records.begin('a', 100));
    records.forget('a');
    const next = records.begin('a', 30);
    lost.forEach((request) => {
      request.markPrefilled();
      request.end();
    });
    assert.equal(records.running('a'), 1);
    assert.equal(records.pendingTokens('a'), 30);
    next.markPrefilled();
    next.end();
    assert.equal(records.running('a'), 0);
    assert.equal(records.pendingTokens('a'), 0);
  });
});
