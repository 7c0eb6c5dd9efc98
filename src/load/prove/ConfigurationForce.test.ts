import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against an entry or agent that uses an old configuration after a pause, a start or a stale
// read.
test('accepted changes are in force everywhere within 5 s and stay', async () => {
  const options = { promise: 'configuration', seed: 1, seconds: 12, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
