import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against a restart of an instance that interrupts requests of callers.
test('SIGTERM to entries and agents interrupts no request', async () => {
  const options = { promise: 'shutdown', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
