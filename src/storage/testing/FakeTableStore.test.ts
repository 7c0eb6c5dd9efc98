import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakeTableStore } from './FakeTableStore.js';

test('the fault lost-after-commit keeps the write, so that a read-back finds it', async () => {
  const store = new FakeTableStore();
  store.chooseFault = (operation) =>
    operation === 'transaction' ? 'lost-after-commit' : undefined;
  const result = await store.transaction({
    checks: [{ table: 't', key: 'k', version: 0 }],
    writes: [{ table: 't', key: 'k', value: 1 }],
  });
  assert.equal(result.ok, false);
  assert.equal(store.table.read({ table: 't', key: 'k' }).value, 1);
});
