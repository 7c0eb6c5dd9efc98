import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { MemoryTable } from './MemoryTable.js';

const KEYS = ['a', 'a/1', 'a/2', 'a/20', 'b', 'b/1'];

test('scans return the rows that a linear search of all keys returns, after any writes', () => {
  const write = fc.record({
    key: fc.constantFrom(...KEYS),
    value: fc.option(fc.integer(), { nil: null }),
  });
  const range = fc.record({
    prefix: fc.constantFrom('', 'a/', 'a/2', 'b', 'c'),
    after: fc.option(fc.constantFrom(...KEYS), { nil: undefined }),
    limit: fc.integer({ min: 1, max: 7 }),
  });
  const step = fc.record({ write, range });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const table = new MemoryTable();
      const reference = new Map<string, unknown>();
      steps.forEach((next) => {
        table.transaction({ checks: [], writes: [{ table: 't', ...next.write }] });
        if (next.write.value === null) reference.delete(next.write.key);
        else reference.set(next.write.key, next.write.value);
        const { prefix, after = '', limit } = next.range;
        const expected = [...reference.keys()]
          .filter((key) => key.startsWith(prefix) && key > after)
          .sort()
          .slice(0, limit);
        const found = table.scan({ table: 't', ...next.range });
        assert.deepEqual(
          found.map((row) => [row.key, row.value]),
          expected.map((key) => [key, reference.get(key)]),
        );
      });
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('a recreated row has a higher version, so a check of the deleted one fails', () => {
  const table = new MemoryTable();
  const address = { table: 't', key: 'k' };
  [1, null, 2].forEach((value) =>
    table.transaction({ checks: [], writes: [{ ...address, value }] }),
  );
  const stale = table.transaction({
    checks: [{ ...address, version: 1 }],
    writes: [{ ...address, value: 3 }],
  });
  assert.equal(stale.ok, false);
  assert.equal(table.read(address).value, 2);
});
