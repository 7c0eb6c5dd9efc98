import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine, quantile, withLines } from './Statistics.js';

test('fitLine returns the exact base and slope of points on a straight line', () => {
  const points = [1, 4, 9].map((x) => ({ x, y: 3 + 0.5 * x }));
  const { base, slope } = fitLine(points);
  assert.ok(Math.abs(base - 3) < 1e-9);
  assert.ok(Math.abs(slope - 0.5) < 1e-9);
});

test('fitLine returns slope 0 for points with equal x instead of dividing by zero', () => {
  assert.deepEqual(
    fitLine([
      { x: 2, y: 1 },
      { x: 2, y: 3 },
    ]),
    { base: 2, slope: 0 },
  );
});

test('withLines fits a separate line to each value of a series', () => {
  const points = [0, 1, 2].map((x) => ({ x, values: { a: x, b: -2 * x } }));
  const { lines } = withLines({ name: 's', unit: 'u', points });
  assert.deepEqual([lines.a!.slope, lines.b!.slope], [1, -2]);
});

test('quantile does not depend on the order of the values', () => {
  assert.equal(quantile([9, 1, 5], 0.5), 5);
  assert.equal(quantile([9, 1, 5], 1), 9);
});
