import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against a refusal with outcome "not-run" for a request that ran, which makes the caller
// send it again.
test('no request refused with outcome "not-run" has run', async () => {
  const options = { promise: 'true-refusal', seed: 1, seconds: 12, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
