import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prove } from './ProveCommand.js';

// Guards against an agent that continues to send orders after another agent took over its lease.
test('orders of an agent that lost its lease have no lasting effect', async () => {
  const options = { promise: 'orders', seed: 1, seconds: 10, variant: 'current' } as const;
  const { report, passed } = await prove(options);
  assert.deepEqual(report.examples, []);
  assert.ok(passed, `every fault must have happened: ${JSON.stringify(report.faults)}`);
});
