import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { StageQueue } from './StageQueue.js';
import type { CallOutcome, EndedTask, PlannedCall } from './Types.js';
import { ManualClock } from './testing/ManualClock.js';
import {
  createCapacity,
  createServer,
  createStageRules,
  createStatements,
  createTask,
} from './testing/fixtures.js';
import { generateArrivals, meanOf, replayStage } from './testing/StageReplay.js';

const SEEDS = [1, 2, 3, 4, 5];

function createQueue(options: { servers?: number; mayRetry?: boolean; batchSize?: number } = {}) {
  const clock = new ManualClock();
  const { servers = 1, mayRetry = true, batchSize = 12 } = options;
  const statements = createStatements(clock);
  const rules = createStageRules(clock, {
    limits: statements,
    mayRetry: () => mayRetry,
    mustRunAlone: ({ fingerprint }) => fingerprint === 'suspect',
  });
  const queue = new StageQueue(clock, createCapacity({ batchSize }), rules);
  queue.updateServers(Array.from({ length: servers }, (_, index) => createServer(`s${index + 1}`)));
  return { clock, queue, statements };
}

function answer(call: PlannedCall): CallOutcome {
  const pieces = call.pieces.map(({ taskId, piece }) => ({
    kind: 'made' as const,
    handle: `${call.callId}-${taskId}-${piece}`,
  }));
  return { kind: 'answered', pieces };
}

function only<T>(values: readonly T[]): T {
  assert.equal(values.length, 1);
  return values[0]!;
}

describe('StageQueue', () => {
  it('returns the results of two identical tasks to the right one', () => {
    // Guards against results that are mixed up between tasks of different processes: when the
    // processes assigned the ids, two tasks could have the same one.
    const { queue } = createQueue();
    const first = queue.add(createTask({ pieces: 2 }));
    const second = queue.add(createTask({ pieces: 2 }));
    const call = only(queue.plan());
    const ends = queue.finishCall(call.callId, answer(call));
    const handlesOf = (taskId: number) =>
      ends.flatMap(({ taskId: id, outcome }) =>
        id === taskId && outcome.kind === 'done' ? outcome.handles : [],
      );
    assert.deepEqual(handlesOf(first), [`1-${first}-0`, `1-${first}-1`]);
    assert.deepEqual(handlesOf(second), [`1-${second}-0`, `1-${second}-1`]);
  });

  it('sends the pieces of a suspect in calls without those of others', () => {
    // Guards against sound requests that are lost with a server again and again beside another one.
    const { clock, queue } = createQueue({ servers: 4 });
    const suspect = { fingerprint: 'suspect', attemptId: 'suspect', pieces: 2 };
    queue.add(createTask({ attemptId: 'first', dueAt: 900 }));
    queue.add(createTask({ ...suspect, dueAt: 950 }));
    queue.add(createTask({ attemptId: 'second', dueAt: 960 }));
    queue.add(createTask({ ...suspect, dueAt: 970 }));
    const planned: PlannedCall[] = [];
    for (let now = 0; now < 200; now += 10) {
      clock.set(now);
      planned.push(...queue.plan());
    }
    const calls = planned.map(({ pieces }) => pieces.map(({ task }) => task.attemptId).join());
    assert.deepEqual(calls.sort(), ['first,second', 'suspect,suspect', 'suspect,suspect']);
  });

  it('plans no call for a server at its limit, and expects a longer backlog because of it', () => {
    const { clock, queue, statements } = createQueue({ servers: 2, batchSize: 1 });
    for (let index = 0; index < 10; index += 1) queue.add(createTask());
    const backlogMs = queue.backlogMs;
    statements.limits.recordResponse('s1', 0.5);
    assert.ok(queue.backlogMs > 1.5 * backlogMs);
    assert.deepEqual(
      queue.plan().map(({ server }) => server.id),
      ['s2'],
    );
    clock.set(2000);
    assert.deepEqual(
      queue.plan().map(({ server }) => server.id),
      ['s1'],
    );
  });

  it('states a load that peers can read for a service whose calls take no time', () => {
    // Guards against heartbeats that all peers reject: JSON has no infinite numbers.
    const clock = new ManualClock();
    const capacity = createCapacity({ callMs: 0, pieceMs: 0 });
    const queue = new StageQueue(clock, capacity, createStageRules(clock));
    queue.updateServers([createServer('s1')]);
    queue.add(createTask({ pieces: 30 }));
    assert.ok(Number.isFinite(queue.load.piecesPerMs));
    assert.ok(Number.isFinite(queue.backlogMs));
  });

  it('states the rate of full calls while bursts leave its servers idle in between', () => {
    // Guards against requests that are refused at a low load: time without work counted as busy.
    const { clock, queue } = createQueue({ servers: 4 });
    const nominal = queue.load.piecesPerMs;
    const calls: { readonly call: PlannedCall; readonly endsAt: number }[] = [];
    for (let now = 0; now < 9000; now += 10) {
      clock.set(now);
      calls
        .filter(({ endsAt }) => endsAt <= now)
        .forEach(({ call }) => queue.finishCall(call.callId, answer(call)));
      calls.splice(0, calls.length, ...calls.filter(({ endsAt }) => endsAt > now));
      if (now % 450 === 0) {
        const task = createTask({ pieces: 3, dueAt: now + 1000, expiresAt: now + 3000 });
        for (let index = 0; index < 10; index += 1) queue.add({ ...task });
      }
      queue.plan().forEach((call) => calls.push({ call, endsAt: now + call.expectedMs }));
    }
    assert.ok(queue.load.piecesPerMs > 0.9 * nominal, `${queue.load.piecesPerMs} of ${nominal}`);
  });

  it('does not send pieces whose results exceed the memory of the server', () => {
    // Guards against calls whose pieces return without a result for lack of memory.
    const { queue } = createQueue();
    const large = createCapacity().resultRoomBytes / 2;
    queue.add(createTask({ pieces: 2, resultBytes: large }));
    const later = queue.add(createTask({ pieces: 1, resultBytes: large }));
    const call = only(queue.plan());
    const ends = queue.finishCall(call.callId, answer(call));
    assert.deepEqual(queue.plan(), []);
    const { outcome } = only(ends);
    queue.release('s1', outcome.kind === 'done' ? outcome.handles : []);
    assert.equal(only(queue.plan()).pieces[0]?.taskId, later);
  });

  it('fails a task when no retry is allowed', () => {
    const { queue } = createQueue({ mayRetry: false });
    queue.add(createTask());
    const call = only(queue.plan());
    assert.equal(only(queue.finishCall(call.callId, { kind: 'broken' })).outcome.kind, 'failed');
  });

  it('resends pieces that no server received without using the retry budget', () => {
    const { clock, queue } = createQueue({ servers: 2, mayRetry: false });
    queue.add(createTask());
    const call = only(queue.plan());
    assert.deepEqual(queue.finishCall(call.callId, { kind: 'unsent' }), []);
    clock.set(200);
    const next = only(queue.plan());
    assert.notEqual(next.server.id, call.server.id);
  });

  it('ends a task as soon as it can no longer meet its deadline', () => {
    // Guards against callers that wait until their deadline for a request that cannot succeed.
    const { clock, queue } = createQueue({ servers: 0 });
    queue.add(createTask({ expiresAt: 400 }));
    assert.deepEqual(queue.removeExpired(), []);
    clock.set(300);
    assert.equal(only(queue.removeExpired()).outcome.kind, 'expired');
  });

  it('returns the results of cancelled tasks for release', () => {
    // Guards against server memory that is occupied by results without a reader.
    const { queue } = createQueue();
    const taskId = queue.add(createTask());
    const call = only(queue.plan());
    queue.cancel(taskId);
    queue.finishCall(call.callId, answer(call));
    assert.deepEqual(queue.removeOrphans(), [`1-${taskId}-0`]);
  });

  it('sends tasks that can meet their objective before those that cannot', () => {
    const { clock, queue } = createQueue({ batchSize: 1 });
    clock.set(1000);
    queue.add(createTask({ priority: 0, dueAt: 900 }));
    const onTime = queue.add(createTask({ priority: 2, dueAt: 2000 }));
    assert.equal(only(queue.plan()).pieces[0]?.taskId, onTime);
  });

  it('sends the more urgent of two tasks that can meet their objective', () => {
    const { queue } = createQueue({ batchSize: 1 });
    queue.add(createTask({ priority: 2, dueAt: 500 }));
    const urgent = queue.add(createTask({ priority: 0, dueAt: 900 }));
    assert.equal(only(queue.plan()).pieces[0]?.taskId, urgent);
  });

  it('does not sort the queue for arrivals while all servers are busy', () => {
    // Guards against work that grows with the square of the queue when more tasks arrive than the
    // servers can run: each arrival used to compare all waiting tasks.
    const { queue } = createQueue({ batchSize: 1 });
    queue.add(createTask());
    only(queue.plan());
    let comparisons = 0;
    const createCountingTask = () =>
      Object.defineProperty({ ...createTask() }, 'dueAt', {
        get: () => {
          comparisons += 1;
          return 1000;
        },
      });
    const arrivals = 300;
    for (let index = 0; index < arrivals; index += 1) {
      queue.add(createCountingTask());
      assert.deepEqual(queue.plan(), []);
    }
    assert.equal(queue.waitingPieceCount, arrivals);
    assert.ok(
      comparisons <= arrivals,
      `${comparisons} reads of due times for ${arrivals} arrivals`,
    );
  });

  it('ends every task once, with its own results only, whatever the outcomes of the calls', () => {
    // Guards against tasks that never end or end twice when calls fail or are refused, or when
    // servers are removed.
    const outcomes = ['answered', 'broken', 'unsent', 'not-executed'] as const;
    const step = fc.oneof(
      fc.record({ type: fc.constant('add' as const), pieces: fc.integer({ min: 1, max: 20 }) }),
      fc.record({ type: fc.constant('end' as const), kind: fc.constantFrom(...outcomes) }),
      fc.record({ type: fc.constant('servers' as const), count: fc.integer({ min: 0, max: 4 }) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 900 }) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const { clock, queue } = createQueue({ servers: 3 });
        const open = new Set<number>();
        const calls: PlannedCall[] = [];
        const owned = new Map<string, number>();
        const take = (ends: readonly EndedTask[]) =>
          ends.forEach(({ taskId, outcome }) => {
            assert.ok(open.delete(taskId), `task ${taskId} ended twice or was never added`);
            if (outcome.kind !== 'done') return;
            outcome.handles.forEach((handle) => assert.equal(owned.get(handle), taskId));
          });
        const advance = () => {
          take(queue.removeExpired());
          calls.push(...queue.plan());
        };
        steps.forEach((current) => {
          if (current.type === 'add') {
            const expiresAt = clock.now() + 3000;
            open.add(queue.add(createTask({ pieces: current.pieces, expiresAt })));
          }
          if (current.type === 'servers') {
            const ids = Array.from({ length: current.count }, (_, index) => `s${index + 1}`);
            queue.updateServers(ids.map((id) => createServer(id)));
          }
          if (current.type === 'wait') clock.set(clock.now() + current.ms);
          const call = current.type === 'end' ? calls.shift() : undefined;
          if (call && current.type === 'end') {
            call.pieces.forEach(({ taskId, piece }) =>
              owned.set(`${call.callId}-${taskId}-${piece}`, taskId),
            );
            const outcome = current.kind === 'answered' ? answer(call) : { kind: current.kind };
            take(queue.finishCall(call.callId, outcome));
          }
          advance();
        });
        calls.forEach((call) => take(queue.finishCall(call.callId, { kind: 'broken' })));
        clock.set(clock.now() + 10_000);
        advance();
        assert.deepEqual([...open], []);
      }),
      { numRuns: 300, seed: 7 },
    );
  });
});

describe('StageQueue under a steady stream of small tasks', () => {
  // Guards against servers that start calls in step, so that later pieces wait for a full call.
  const capacity = createCapacity({ batchSize: 45, pieceMs: 2.9 });
  const servers = [1, 2, 3, 4].map((index) => createServer(`s${index}`));
  const replay = (seed: number) =>
    replayStage(
      generateArrivals({
        seed,
        ratePerS: 60,
        durationMs: 10_000,
        burstSize: 3,
        task: (at) => createTask({ pieces: 6, dueAt: at + 500, expiresAt: at + 4000 }),
      }),
      capacity,
      servers,
    );

  it('keeps the mean waiting time below half the duration of a call', () => {
    const ends = SEEDS.flatMap(replay);
    const meanMs = meanOf(ends.map(({ latencyMs }) => latencyMs));
    const callMs = capacity.callMs + 22 * capacity.pieceMs;
    assert.ok(
      meanMs < 1.5 * callMs,
      `mean latency ${meanMs.toFixed(0)} ms, call ${callMs.toFixed(0)} ms`,
    );
    assert.ok(ends.every(({ outcome }) => outcome === 'done'));
  });
});

describe('StageQueue under a burst beyond its capacity', () => {
  // Guards against finishing all requests late when more pieces arrive than full calls can carry.
  it('keeps nearly all urgent requests and many of the others on time', () => {
    const capacity = createCapacity({ batchSize: 10, pieceMs: 13 });
    const servers = [1, 2, 3, 4].map((index) => createServer(`s${index}`));
    const ends = SEEDS.flatMap((seed) =>
      replayStage(
        generateArrivals({
          seed,
          ratePerS: 200,
          durationMs: 6000,
          burstSize: 3,
          task: (at, random) =>
            createTask({
              priority: random() < 0.3 ? 0 : 1,
              dueAt: at + 700,
              expiresAt: at + 3000,
            }),
        }),
        capacity,
        servers,
      ),
    );
    const onTimeShare = (priority: number) => {
      const own = ends.filter(({ task }) => task.priority === priority);
      return (
        own.filter(({ latencyMs, outcome }) => outcome === 'done' && latencyMs <= 700).length /
        own.length
      );
    };
    assert.ok(
      onTimeShare(0) > 0.95,
      `urgent on time: expected above 0.95, got ${onTimeShare(0).toFixed(2)}`,
    );
    assert.ok(
      onTimeShare(1) > 0.4,
      `others on time: expected above 0.4, got ${onTimeShare(1).toFixed(2)}`,
    );
  });
});

describe('StageQueue under an overload of tasks that do not divide a batch', () => {
  // Guards against calls that carry one task of eight pieces where fifteen fit, while hundreds wait.
  it('fills its calls, and finishes more tasks in time', () => {
    const capacity = createCapacity({ batchSize: 15, pieceMs: 8.5 });
    const servers = Array.from({ length: 11 }, (_, index) => createServer(`s${index + 1}`));
    const ends = SEEDS.flatMap((seed) =>
      replayStage(
        generateArrivals({
          seed,
          ratePerS: 70,
          durationMs: 20_000,
          burstSize: 2,
          task: (at) => createTask({ pieces: 8, dueAt: at + 2000, expiresAt: at + 3500 }),
        }),
        capacity,
        servers,
      ),
    );
    const done = ends.filter(({ outcome }) => outcome === 'done');
    const share = done.length / ends.length;
    // 560 pieces arrive in a second. Full calls carry 594, calls with one task each 403.
    assert.ok(share > 0.95, `done: expected above 0.95, got ${share.toFixed(2)}`);
  });

  it('keeps the pieces of a task together if memory for results is scarce', () => {
    // Guards against servers whose memory fills with results of tasks that cannot complete.
    const { queue } = createQueue({ servers: 2, batchSize: 4 });
    const resultBytes = createCapacity().resultRoomBytes / 4;
    for (let index = 0; index < 6; index += 1) queue.add(createTask({ pieces: 3, resultBytes }));
    assert.ok(queue.plan().every(({ pieces }) => pieces.length === 3));
  });

  it('keeps the pieces of a task together outside of its preferred failure domain', () => {
    // Guards against parts of tasks whose inputs or results then cross failure domains.
    const { clock, queue } = createQueue({ servers: 2, batchSize: 15 });
    const task = createTask({ pieces: 8, preferredDomain: 'south', dueAt: -1 });
    for (let index = 0; index < 12; index += 1) queue.add(task);
    clock.set(1000);
    assert.ok(queue.plan().every(({ pieces }) => pieces.length === 8));
  });

  it('keeps the pieces of a task together while the servers keep up', () => {
    const { clock, queue } = createQueue({ servers: 3, batchSize: 15 });
    for (let index = 0; index < 3; index += 1) queue.add(createTask({ pieces: 8 }));
    const calls = [0, 100, 200].flatMap((now) => {
      clock.set(now);
      return queue.plan();
    });
    assert.deepEqual(
      calls.map(({ pieces }) => pieces.length),
      [8, 8, 8],
    );
  });
});

describe('StageQueue with inputs that are costly to move', () => {
  // Guards against transfers between failure domains while a server in the right one is free.
  it('reads most inputs in their failure domain', () => {
    const capacity = createCapacity({ batchSize: 94, pieceMs: 1.3 });
    const domains = ['north', 'east', 'south'];
    const servers = domains.map((failureDomain, index) =>
      createServer(`s${index + 1}`, { failureDomain }),
    );
    const ends = SEEDS.flatMap((seed) =>
      replayStage(
        generateArrivals({
          seed,
          ratePerS: 10,
          durationMs: 10_000,
          burstSize: 1,
          task: (at, random) =>
            createTask({
              pieces: 16,
              inputBytes: 360_000,
              preferredDomain: domains[Math.floor(random() * domains.length)]!,
              dueAt: at + 700,
              expiresAt: at + 4000,
            }),
        }),
        capacity,
        servers,
      ),
    );
    const allBytes = ends.length * 16 * 360_000;
    const remote = ends.reduce((sum, { remoteBytes }) => sum + remoteBytes, 0) / allBytes;
    // A choice that ignores the failure domain would read two thirds of the bytes from another one.
    assert.ok(
      remote < 0.45,
      `remote share of the input bytes: expected below 0.45, got ${remote.toFixed(2)}`,
    );
  });

  it('waits for a server in the right failure domain that is free soon', () => {
    // Guards against transfers although a server beside the inputs is about to finish its call, and
    // against tasks that wait in vain for one that is not.
    const capacity = createCapacity({ batchSize: 18, pieceMs: 7.1 });
    const inputBytes = 480_000;
    const servers = ['north', 'north', 'east', 'south', 'west'].map((failureDomain, index) =>
      createServer(`s${index + 1}`, { failureDomain }),
    );
    const sources = ['north', 'north', 'east', 'east', 'south', 'west'];
    const ends = SEEDS.flatMap((seed) =>
      replayStage(
        generateArrivals({
          seed,
          ratePerS: 9,
          durationMs: 20_000,
          burstSize: 1,
          task: (at, random) =>
            createTask({
              pieces: 9 + Math.floor(random() * 15),
              inputBytes,
              preferredDomain: sources[Math.floor(random() * sources.length)]!,
              dueAt: at + 700,
              expiresAt: at + 5000,
            }),
        }),
        capacity,
        servers,
      ),
    );
    const allBytes = ends.reduce((sum, { task }) => sum + task.pieces * inputBytes, 0);
    const remote = ends.reduce((sum, { remoteBytes }) => sum + remoteBytes, 0) / allBytes;
    const onTime = ends.filter(({ outcome, latencyMs }) => outcome === 'done' && latencyMs <= 700);
    assert.ok(remote < 1 / 3, `remote share: expected below a third, got ${remote.toFixed(2)}`);
    assert.ok(onTime.length / ends.length > 0.99, 'tasks miss their objective');
  });
});
