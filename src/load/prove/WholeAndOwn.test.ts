import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against answers that are truncated, duplicated, swapped between requests, or mixed from
// several attempts after a retry.
test('a caller gets the complete correct answer to its own request or an error', async () => {
  const options = { promise: 'whole-and-own', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
