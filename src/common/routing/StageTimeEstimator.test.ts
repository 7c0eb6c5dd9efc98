import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StageTimeEstimator } from './StageTimeEstimator.js';
import { createClock } from './testing/RoutingFixture.js';

const WORK = { template: 't', stage: 's' };

const addMany = (times: StageTimeEstimator, serviceMs: number, count = 100) => {
  for (let result = 0; result < count; result += 1) {
    times.record(WORK, { serviceMs, firstChunkMs: serviceMs / 2 });
  }
};

test('returns quantiles of recent results, and null for fewer than 20 results', () => {
  const times = new StageTimeEstimator(createClock());
  addMany(times, 100, 19);
  assert.equal(times.expectedTimes(WORK), null);
  const known = new StageTimeEstimator(createClock());
  addMany(known, 100, 90);
  addMany(known, 2000, 10);
  assert.deepEqual(known.expectedTimes(WORK), { medianServiceMs: 100, p95FirstChunkMs: 1003 });
});

test('results expire after 30 s (a stage refused as too slow must be tried again)', () => {
  const clock = createClock();
  const times = new StageTimeEstimator(clock);
  addMany(times, 5000);
  clock.advance(16_000);
  assert.ok(times.expectedTimes(WORK));
  clock.advance(16_000);
  assert.equal(times.expectedTimes(WORK), null);
});

test('quantiles follow a change of speed within two windows', () => {
  const clock = createClock();
  const times = new StageTimeEstimator(clock);
  addMany(times, 5000);
  clock.advance(31_000);
  addMany(times, 100);
  assert.equal(times.expectedTimes(WORK)?.medianServiceMs, 100);
});
