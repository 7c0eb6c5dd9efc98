import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OutlierEjection } from './OutlierEjection.js';
import { ServerState } from './ServerState.js';
import { createClock } from './testing/RoutingFixture.js';

const createPool = (count: number) =>
  new Map(Array.from({ length: count }, (_, position) => [`s${position}`, new ServerState()]));

const addResults = (state: ServerState | undefined, ratio: number, count = 20) => {
  for (let result = 0; result < count; result += 1) state!.recordResult(ratio, 0);
};

test('ejects a server over 3 times slower than the median, for 5 s and then twice as long', () => {
  const clock = createClock();
  const ejection = new OutlierEjection(clock);
  const pool = createPool(5);
  for (const state of pool.values()) addResults(state, 1);
  addResults(pool.get('s0'), 5, 40);
  assert.equal(ejection.ejectIfSlow('s0', pool), true);
  clock.advance(4999);
  assert.equal(ejection.isEjected('s0'), true);
  clock.advance(1);
  assert.equal(ejection.isEjected('s0'), false);
  addResults(pool.get('s0'), 5, 40);
  assert.equal(ejection.ejectIfSlow('s0', pool), true);
  clock.advance(9999);
  assert.equal(ejection.isEjected('s0'), true);
});

test('does not eject a server with fewer than 10 results', () => {
  const pool = createPool(5);
  for (const state of pool.values()) addResults(state, 1);
  pool.get('s0')!.resetResults();
  addResults(pool.get('s0'), 50, 9);
  assert.equal(new OutlierEjection(createClock()).ejectIfSlow('s0', pool), false);
});

test('ejects at most 30% of a pool (the remaining servers would be overloaded)', () => {
  const ejection = new OutlierEjection(createClock());
  const pool = createPool(10);
  for (const state of pool.values()) Object.assign(state, { consecutiveFailures: 5 });
  const ejected = [...pool.keys()].filter((id) => ejection.ejectIfFailing(id, 'failed', pool));
  assert.equal(ejected.length, 3);
});

test('avoids unreachable agents immediately, but at most half of a pool', () => {
  const ejection = new OutlierEjection(createClock());
  const pool = createPool(4);
  const avoided = [...pool.keys()].filter((id) => ejection.ejectIfFailing(id, 'unreachable', pool));
  assert.equal(avoided.length, 2);
  ejection.readmit(avoided[0]!);
  assert.equal(ejection.isEjected(avoided[0]!), false);
});

test('a readmitted server receives a share that grows to the full one over 10 s', () => {
  const clock = createClock();
  const ejection = new OutlierEjection(clock);
  const pool = createPool(10);
  pool.get('s0')!.consecutiveFailures = 3;
  ejection.ejectIfFailing('s0', 'failed', pool);
  clock.advance(5000);
  assert.equal(ejection.shareOf('s0'), 0.1);
  clock.advance(5000);
  assert.equal(ejection.shareOf('s0'), 0.5);
  clock.advance(5000);
  assert.equal(ejection.shareOf('s0'), 1);
});
