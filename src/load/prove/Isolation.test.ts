import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against an account that uses the capacity of other accounts or stops an entry with invalid
// input.
test('a flood and invalid input of one account do not affect the other accounts', async () => {
  const options = { promise: 'isolation', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
