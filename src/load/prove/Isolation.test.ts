import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against an account that takes the capacity of the others or stops an entry with bad input.
test('a flood of one account leaves the others alone', async () => {
  const options = { promise: 'isolation', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
