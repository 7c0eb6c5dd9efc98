import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ConfigurationState } from '../common/configuration/ConfigurationState.js';
import type { Change } from '../common/protocol/Configuration.js';
import { FakeTableStore } from '../storage/testing/FakeTableStore.js';
import { readCondensed, readCondensedHead, writeCondensed } from './CondensedLog.js';

const TIMEOUT_MS = 100;

const changeOf = (revision: number, server: number, note = ''): Change => ({
  revision,
  changeId: `c${revision}${note}`,
  author: 'ann',
  at: 0,
  subject: { kind: 'server', value: { id: `s${server}`, draining: revision % 2 === 0 } },
});

async function write(store: FakeTableStore, changes: readonly Change[]): Promise<boolean> {
  const head = await readCondensedHead(store, TIMEOUT_MS);
  assert.ok(head.ok);
  return (await writeCondensed(store, head.value, changes, TIMEOUT_MS)).ok;
}

async function read(store: FakeTableStore): Promise<Change[] | null> {
  const result = await readCondensed(store, TIMEOUT_MS);
  assert.ok(result.ok);
  return result.value;
}

test('condensed log and rest of the log give what the whole log gives, from any revision', async () => {
  const servers = fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 2, maxLength: 40 });
  await fc.assert(
    fc.asyncProperty(servers, fc.nat(), fc.nat(), async (ids, cut, held) => {
      const log = ids.map((server, index) => changeOf(index + 1, server));
      const condensedAt = 1 + (cut % log.length);
      const source = new ConfigurationState();
      source.apply({ after: 0, changes: log.slice(0, condensedAt) });
      const store = new FakeTableStore();
      assert.ok(await write(store, source.since(0).changes));

      const whole = new ConfigurationState();
      whole.apply({ after: 0, changes: log });
      const starting = new ConfigurationState();
      // What the process held before must be neither lost nor set back.
      const heldRevision = held % log.length;
      starting.apply({ after: 0, changes: log.slice(0, heldRevision) });
      starting.apply({ after: 0, changes: (await read(store))! });
      const { revision } = starting.snapshot;
      assert.equal(revision, Math.max(heldRevision, condensedAt));
      starting.apply({ after: revision, changes: log.slice(revision) });
      assert.deepEqual(starting.snapshot, whole.snapshot);
      assert.deepEqual(starting.since(0), whole.since(0));
    }),
    { numRuns: 200 },
  );
});

test('a log too large for one row is read back whole, and the one before it is removed', async () => {
  const store = new FakeTableStore();
  const long = Array.from({ length: 900 }, (_unused, index) =>
    changeOf(index + 1, index, 'x'.repeat(90)),
  );
  assert.ok(await write(store, long.slice(0, 800)));
  assert.ok(await write(store, long));
  assert.deepEqual(await read(store), long);
  const rows = store.table.scan({ table: 'configuration', prefix: 'condensed/', limit: 100 });
  assert.ok(rows.length > 2);
  assert.ok(rows.every((row) => row.key.includes('/000000000900/')));
});

test('of two writers that race only one writes, and a missing row is noticed', async () => {
  const store = new FakeTableStore();
  const head = await readCondensedHead(store, TIMEOUT_MS);
  assert.ok(head.ok);
  assert.ok((await writeCondensed(store, head.value, [changeOf(4, 1)], TIMEOUT_MS)).ok);
  assert.ok(!(await writeCondensed(store, head.value, [changeOf(3, 1)], TIMEOUT_MS)).ok);
  assert.deepEqual(await read(store), [changeOf(4, 1)]);
  const lost = { table: 'configuration', key: 'condensed/000000000004/0', value: null };
  await store.transaction({ checks: [], writes: [lost] });
  assert.equal(await read(store), null);
});
