import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandom } from '../time/SeededRandom.js';
import { admitStages, returnAfterMs } from './StageAdmission.js';
import { expectedWaitMs, type StageLoad } from './StageLoad.js';
import { StageQueue } from './StageQueue.js';
import type { PlannedCall } from './Types.js';
import { ManualClock } from './testing/ManualClock.js';
import { createCapacity, createServer, createStageRules, createTask } from './testing/fixtures.js';

const SHORTEST_MS = 150;
const TYPICAL_MS = 280;

/** Demand of a request whose stage takes one call. */
function createDemand(priority: number, dueInMs: number, waitsForMs: number) {
  return { priority, shortestMs: SHORTEST_MS, typicalMs: TYPICAL_MS, dueInMs, waitsForMs };
}

interface Outcomes {
  admitted: number;
  onTime: number;
  /** Admitted, and ended without results. */
  failed: number;
}

/**
 * Replays requests of two priorities on servers that can run about half of them.
 * @returns what became of the requests, by priority
 */
function replayOverload(seed: number): Map<number, Outcomes> {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const capacity = createCapacity({ batchSize: 10, pieceMs: 13 });
  const queue = new StageQueue(clock, capacity, createStageRules(clock));
  queue.updateServers([1, 2, 3, 4].map((index) => createServer(`s${index}`)));
  const outcomes = new Map([0, 1].map((key) => [key, { admitted: 0, onTime: 0, failed: 0 }]));
  const priorities = new Map<number, { readonly priority: number; readonly dueAt: number }>();
  let calls: { readonly call: PlannedCall; readonly endsAt: number }[] = [];
  let load: StageLoad = queue.load;
  for (let now = 0; now < 12_000; now += 10) {
    clock.set(now);
    // Processes learn the load with the heartbeats.
    if (now % 250 === 0) load = queue.load;
    const arrivals = now < 8000 && random.next() < 0.8 ? 3 : 0;
    for (let index = 0; index < arrivals; index += 1) {
      const priority = random.next() < 0.3 ? 0 : 1;
      if (admitStages(createDemand(priority, 1000, 3000), [load]).kind !== 'admitted') continue;
      const dueAt = now + 1000;
      outcomes.get(priority)!.admitted += 1;
      const taskId = queue.add(createTask({ priority, dueAt, expiresAt: now + 3000 }));
      priorities.set(taskId, { priority, dueAt });
    }
    const ended = calls.filter(({ endsAt }) => endsAt <= now);
    calls = calls.filter(({ endsAt }) => endsAt > now);
    const ends = ended.flatMap(({ call }) =>
      queue.finishCall(call.callId, {
        kind: 'answered',
        pieces: call.pieces.map(({ taskId }) => ({ kind: 'made', handle: `${taskId}` })),
      }),
    );
    [...ends, ...queue.removeExpired()].forEach(({ taskId, outcome }) => {
      const { priority, dueAt } = priorities.get(taskId)!;
      const own = outcomes.get(priority)!;
      if (outcome.kind !== 'done') own.failed += 1;
      else if (now <= dueAt) own.onTime += 1;
      if (outcome.kind === 'done')
        ['s1', 's2', 's3', 's4'].forEach((id) => queue.release(id, outcome.handles));
    });
    calls.push(
      ...queue.plan().map((call) => ({ call, endsAt: now + 150 + 13 * call.pieces.length })),
    );
  }
  return outcomes;
}

describe('admission under a load of twice the capacity of a stage service', () => {
  const results = [1, 2, 3].map(replayOverload);
  const sum = (priority: number, key: keyof Outcomes) =>
    results.reduce((total, outcomes) => total + outcomes.get(priority)![key], 0);

  it('admits urgent requests, and they end on time', () => {
    assert.ok(sum(0, 'onTime') > 0.95 * sum(0, 'admitted'));
  });

  it('lets few of the admitted requests fail', () => {
    // Guards against callers that are held until their request expires in the queue.
    const failed = sum(0, 'failed') + sum(1, 'failed');
    const admitted = sum(0, 'admitted') + sum(1, 'admitted');
    assert.ok(failed < 0.1 * admitted, `${failed} of ${admitted} admitted requests failed`);
  });
});

describe('expectedWaitMs', () => {
  const load = {
    piecesPerMs: 0.1,
    latePieces: 50,
    priorities: [
      { priority: 0, onTimePieces: 10, arrivalsPerMs: 0.05 },
      { priority: 2, onTimePieces: 20, arrivalsPerMs: 0.03 },
    ],
  };

  it('counts only what goes first', () => {
    assert.equal(expectedWaitMs(load, 0, true), 100);
    assert.equal(expectedWaitMs(load, 2, true), 600);
    assert.ok(Math.abs(expectedWaitMs(load, 2, false) - 80 / (0.1 * 0.25)) < 1e-6);
  });

  it('does not count the least urgent priorities, which are counted as one, before each other', () => {
    // Guards against requests of such a priority that wait for their own kind without end.
    const priorities = [{ priority: 9, onTimePieces: 10, arrivalsPerMs: 1 }];
    assert.equal(expectedWaitMs({ ...load, priorities }, 12, true), 100);
  });

  it('expects no end while no server runs anything', () => {
    assert.equal(expectedWaitMs({ ...load, piecesPerMs: 0 }, 0, true), Infinity);
  });

  it('expects the end of a burst in which more arrives that goes first than the servers can run', () => {
    const priorities = [{ priority: 0, onTimePieces: 10, arrivalsPerMs: 1 }];
    const waitMs = expectedWaitMs({ ...load, priorities }, 1, true);
    assert.ok(waitMs > 100 && waitMs < 1000);
    assert.equal(expectedWaitMs({ ...load, priorities }, 0, true), 100);
  });
});

describe('returnAfterMs', () => {
  it('names a time that callers honor, and spreads them', () => {
    assert.equal(returnAfterMs(6000, 0), 1500);
    assert.ok(returnAfterMs(6000, 0.999) <= 2000);
    assert.equal(returnAfterMs(-5, 0.5), 0);
  });
});
