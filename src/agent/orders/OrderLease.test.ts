import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Order, OrderState } from '../../common/protocol/Backend.js';
import { FakeTableStore, type TableFault } from '../../storage/testing/FakeTableStore.js';
import type { Logger } from '../../telemetry/Logger.js';
import { OrderLease } from './OrderLease.js';
import { OrderReconciler } from './OrderReconciler.js';
import type { OrderTarget } from './Types.js';

const TTL_MS = 1000;
const ORDER_TIMEOUT_MS = 300;

function createFixture(ignoresFencing: boolean) {
  const clock = { time: 0, now: () => clock.time, wallTime: () => clock.time };
  const store = new FakeTableStore();
  const createLease = (incarnation: string) =>
    new OrderLease({
      store,
      clock,
      agentId: 'agent',
      incarnation,
      serverId: 'server',
      ttlMs: TTL_MS,
      orderTimeoutMs: ignoresFencing ? ORDER_TIMEOUT_MS : 0,
    });
  return { clock, store, createLease, engine: createEngine(ignoresFencing) };
}

function createEngine(ignoresFencing: boolean) {
  const state: { applied: Order | null; highestFencing: number } = {
    applied: null,
    highestFencing: 0,
  };
  const target: OrderTarget = {
    read: async (): Promise<OrderState> => ({ ...state }),
    apply: async (order) => {
      if (order.fencing < state.highestFencing && !ignoresFencing) return 'rejected';
      state.applied = order;
      state.highestFencing = Math.max(state.highestFencing, order.fencing);
      return 'applied';
    },
  };
  return { state, target };
}

function createReconciler(lease: OrderLease, target: OrderTarget, version: string) {
  return new OrderReconciler({
    lease,
    target,
    holder: version,
    desired: { models: ['m'], adapters: [], version, role: 'mixed' },
    orderTimeoutMs: ORDER_TIMEOUT_MS,
    logger: { info: () => undefined } as unknown as Logger,
  });
}

test('a paused holder has no valid lease after the TTL, and its successor has a higher number', async () => {
  const { clock, createLease } = createFixture(false);
  const [paused, successor] = [createLease('old'), createLease('new')];
  await paused.update();
  await successor.update();
  assert.equal(paused.validFencing(), 1);
  assert.equal(successor.validFencing(), null);
  clock.time += TTL_MS + 1;
  assert.equal(paused.validFencing(), null, 'the clock advanced during the pause');
  await successor.update();
  assert.equal(successor.validFencing(), 2);
  await paused.update();
  assert.equal(paused.validFencing(), null);
});

test('with an engine that ignores fencing numbers, a take-over also waits for the order timeout', async () => {
  const { clock, createLease } = createFixture(true);
  const successor = createLease('new');
  await createLease('old').update();
  await successor.update();
  clock.time += TTL_MS + ORDER_TIMEOUT_MS;
  await successor.update();
  assert.equal(successor.validFencing(), null);
  clock.time += 1;
  await successor.update();
  assert.equal(successor.validFencing(), 2);
});

test('an order of a previous holder that is applied late is corrected by reconciliation', async () => {
  const { clock, createLease, engine } = createFixture(true);
  const [old, successor] = [createLease('old'), createLease('new')];
  await old.update();
  const lateOrder = {
    ...{ models: ['m'], adapters: [], version: 'old', role: 'mixed' as const },
    fencing: old.validFencing()!,
    holder: 'old',
  };
  await successor.update();
  clock.time += TTL_MS + ORDER_TIMEOUT_MS + 1;
  await successor.update();
  const reconciler = createReconciler(successor, engine.target, 'new');
  await reconciler.reconcile();
  await engine.target.apply(lateOrder, 0);
  assert.equal(engine.state.applied?.version, 'old');
  await reconciler.reconcile();
  assert.equal(engine.state.applied?.version, 'new');
});

test('a holder whose order is rejected for its fencing number no longer has a valid lease', async () => {
  const { createLease, engine } = createFixture(false);
  const old = createLease('old');
  await old.update();
  await engine.target.apply(
    { models: [], adapters: [], version: 'new', role: 'mixed', fencing: 2, holder: 'new' },
    0,
  );
  await createReconciler(old, engine.target, 'old').reconcile();
  assert.equal(engine.state.applied?.version, 'new');
  assert.equal(old.validFencing(), null);
});

test('a released lease can be taken over before it expires', async () => {
  const { createLease } = createFixture(true);
  const [old, successor] = [createLease('old'), createLease('new')];
  await old.update();
  await old.release();
  await successor.update();
  assert.equal(old.validFencing(), null);
  assert.equal(successor.validFencing(), 2);
});

// Guards against two agents with valid leases at a time: an engine that ignores fencing numbers
// would apply the orders of both.
test('at most one agent has a valid lease, under lost answers, outages and pauses', async () => {
  const fault = fc.constantFrom<TableFault | undefined>(
    undefined,
    undefined,
    undefined,
    'unavailable',
    'lost-before-commit',
    'lost-after-commit',
  );
  const action = fc.record({
    agent: fc.nat({ max: 2 }),
    advanceMs: fc.integer({ min: 0, max: 700 }),
    fault,
    release: fc.nat({ max: 19 }),
  });
  const property = fc.asyncProperty(fc.array(action, { maxLength: 60 }), async (actions) => {
    const { clock, store, createLease } = createFixture(true);
    const leases = ['i0', 'i1', 'i2'].map(createLease);
    let highest = 0;
    for (const { agent, advanceMs, fault: chosen, release } of actions) {
      clock.time += advanceMs;
      store.chooseFault = () => chosen;
      await (release === 0 ? leases[agent]!.release() : leases[agent]!.update());
      const numbers = leases.flatMap((lease) => lease.validFencing() ?? []);
      assert.ok(numbers.length <= 1, 'at most one holder');
      assert.ok((numbers[0] ?? highest) >= highest, 'fencing numbers grow');
      highest = Math.max(highest, ...numbers);
    }
  });
  await fc.assert(property, { seed: 7, numRuns: 1000 });
});
