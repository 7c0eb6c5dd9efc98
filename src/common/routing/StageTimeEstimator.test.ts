import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StageTimes } from './StageTimes.js';
import { createClock } from './testing/fixtures.js';

const WORK = { template: 't', stage: 's' };

const addMany = (times: StageTimes, serviceMs: number, count = 100) => {
  for (let result = 0; result < count; result += 1) {
    times.add(WORK, { serviceMs, firstMs: serviceMs / 2 });
  }
};

test('returns quantiles of recent results, and null for fewer than 20 results', () => {
  const times = new StageTimes(createClock());
  addMany(times, 100, 19);
  assert.equal(times.expect(WORK), null);
  const known = new StageTimes(createClock());
  addMany(known, 100, 90);
  addMany(known, 2000, 10);
  assert.deepEqual(known.expect(WORK), { medianServiceMs: 100, highFirstMs: 1003 });
});

test('results expire after 30 s (a stage refused as too slow must be tried again)', () => {
  const clock = createClock();
  const times = new StageTimes(clock);
  addMany(times, 5000);
  clock.advance(16_000);
  assert.ok(times.expect(WORK));
  clock.advance(16_000);
  assert.equal(times.expect(WORK), null);
});

test('quantiles follow a change of speed within two windows', () => {
  const clock = createClock();
  const times = new StageTimes(clock);
  addMany(times, 5000);
  clock.advance(31_000);
  addMany(times, 100);
  assert.equal(times.expect(WORK)?.medianServiceMs, 100);
});
