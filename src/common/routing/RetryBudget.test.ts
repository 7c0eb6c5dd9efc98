import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RetryBudget } from './RetryBudget.js';

const spendAll = (budget: RetryBudget) => {
  let spent = 0;
  while (budget.trySpend()) spent += 1;
  return spent;
};

test('extra attempts stay below a share of first attempts (no amplification of overload)', () => {
  const budget = new RetryBudget(0.1, 3);
  assert.equal(spendAll(budget), 3);
  for (let first = 0; first < 205; first += 1) budget.recordFirstAttempt();
  assert.equal(spendAll(budget), 20);
});

test('a share of 0 allows no extra attempts, and otherwise at most 100 accumulate', () => {
  assert.equal(spendAll(new RetryBudget(0, 3)), 0);
  const budget = new RetryBudget(0.5, 0);
  for (let first = 0; first < 1000; first += 1) budget.recordFirstAttempt();
  assert.equal(spendAll(budget), 100);
});
