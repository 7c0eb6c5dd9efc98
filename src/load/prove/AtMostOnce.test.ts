import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against a deposit that takes effect twice after a crash, a pause, a silent connection or a
// lost answer.
test('a key takes effect at most once while processes are killed and frozen', async () => {
  const options = { promise: 'at-most-once', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});

// Guards against a proof that does not detect a second effect of a key.
test('the proof detects the second effects that the naive baseline causes', async () => {
  const options = { promise: 'at-most-once', seed: 1, seconds: 4, variant: 'naive' } as const;
  const { report, passed } = await prove(options);
  assert.ok(report.violations > 0);
  assert.equal(passed, false);
});
