import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { FAULT_ACTIONS } from './FaultActions.js';
import { createFaultSeries } from './FaultSeries.js';

test('a seed always gives the same series of faults, in order and within its time', () => {
  // Guards against seeds of failed runs that cannot be played again.
  const [series, again] = [1, 2].map(() => createFaultSeries(new SeededRandom(5), 20));
  assert.deepEqual(series, again);
  assert.ok(series!.every(({ atMs }) => atMs < 20_000));
  assert.ok(series!.every(({ atMs }, index) => index === 0 || atMs >= series![index - 1]!.atMs));
});

test('every kind of fault comes up, and some overlap', () => {
  const series = createFaultSeries(new SeededRandom(1), 600);
  assert.deepEqual(
    [...new Set(series.map(({ kind }) => kind))].sort(),
    Object.keys(FAULT_ACTIONS).sort(),
  );
  assert.ok(
    series.some((fault, index) => fault.atMs + fault.forMs > (series[index + 1]?.atMs ?? Infinity)),
  );
});
