import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against a finished result that is lost with its connection and computed a second time.
test('results survive broken and silent connections without a second run', async () => {
  const options = { promise: 'no-lost-result', seed: 1, seconds: 8, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
