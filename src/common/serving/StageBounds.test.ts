import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MAX_HELD_PIECES, successiveCalls } from './StageBounds.js';
import { StageQueue } from './StageQueue.js';
import { ManualClock } from './testing/ManualClock.js';
import { createCapacity, createServer, createStageRules, createTask } from './testing/fixtures.js';

const SERVERS = 3;

function createQueue() {
  const clock = new ManualClock();
  const queue = new StageQueue(clock, createCapacity(), createStageRules(clock));
  queue.updateServers(Array.from({ length: SERVERS }, (_, index) => createServer(`s${index}`)));
  return queue;
}

describe('successiveCalls', () => {
  it('counts full calls of all servers', () => {
    const capacity = createCapacity({ batchSize: 10, concurrentCalls: 2 });
    assert.equal(successiveCalls(0, SERVERS, capacity), 0);
    assert.equal(successiveCalls(60, SERVERS, capacity), 1);
    assert.equal(successiveCalls(61, SERVERS, capacity), 2);
    assert.equal(successiveCalls(5, 0, capacity), 1);
  });
});

describe('a task with many pieces', () => {
  it('is not accepted if the servers cannot make them in time', () => {
    // Guards against tasks that only take memory and time until they expire (review case 8).
    const queue = createQueue();
    const taskOf = (pieces: number) => createTask({ pieces, expiresAt: 1500 });
    assert.equal(queue.canEnd(taskOf(10 * SERVERS * 12)), true);
    assert.equal(queue.canEnd(taskOf(10 * SERVERS * 12 + 1)), false);
  });

  it('ends to make room for smaller ones, and the pieces in a queue are bounded', () => {
    const queue = createQueue();
    const add = (pieces: number) => {
      const ended = queue.makeRoom(pieces);
      return ended && { id: queue.add(createTask({ pieces })), ended };
    };
    const huge = add(MAX_HELD_PIECES / 2)!;
    const large = add(MAX_HELD_PIECES / 2 - 10)!;
    assert.deepEqual(add(10)!.ended, []);
    assert.equal(add(MAX_HELD_PIECES / 2), undefined);
    assert.deepEqual(add(20)!.ended, [{ taskId: huge.id, outcome: { kind: 'failed' } }]);
    assert.equal(queue.waitingPieceCount, MAX_HELD_PIECES / 2 + 20);
    assert.deepEqual(queue.cancel(large.id), []);
  });
});
