import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against a drain that takes effect only while store and membership list are up to date.
test('a drained server gets no new work after 3 s while the store is down and the list lags', async () => {
  const options = { promise: 'drain', seed: 1, seconds: 9, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
