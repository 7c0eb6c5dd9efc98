import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ConfigurationState } from '../common/configuration/ConfigurationState.js';
import type { Change } from '../common/protocol/Configuration.js';
import { FakeTableStore } from '../storage/testing/FakeTableStore.js';
import { readCondensed, readCondensedHead, writeCondensed } from './CondensedLog.js';

const TIMEOUT_MS = 100;

const changeOf = (revision: number, server: number, changeIdSuffix = ''): Change => ({
  revision,
  changeId: `c${revision}${changeIdSuffix}`,
  author: 'ann',
  at: 0,
  subject: { kind: 'server', value: { id: `s${server}`, draining: revision % 2 === 0 } },
});

async function writeLog(store: FakeTableStore, changes: readonly Change[]): Promise<boolean> {
  const head = await readCondensedHead(store, TIMEOUT_MS);
  assert.ok(head.ok);
  return (await writeCondensed(store, head.value, changes, TIMEOUT_MS)).ok;
}

async function readLog(store: FakeTableStore): Promise<Change[] | null> {
  const result = await readCondensed(store, TIMEOUT_MS);
  assert.ok(result.ok);
  return result.value;
}

test('the condensed log plus later changes give the state of the full log, from any revision', async () => {
  const servers = fc.array(fc.integer({ min: 0, max: 5 }), { minLength: 2, maxLength: 40 });
  await fc.assert(
    fc.asyncProperty(servers, fc.nat(), fc.nat(), async (ids, cut, held) => {
      const log = ids.map((server, index) => changeOf(index + 1, server));
      const condensedAt = 1 + (cut % log.length);
      const source = new ConfigurationState();
      source.apply({ after: 0, changes: log.slice(0, condensedAt) });
      const store = new FakeTableStore();
      assert.ok(await writeLog(store, source.since(0).changes));

      const fromFullLog = new ConfigurationState();
      fromFullLog.apply({ after: 0, changes: log });
      const fromCondensedLog = new ConfigurationState();
      // A revision that the process already holds must be neither lost nor reverted.
      const heldRevision = held % log.length;
      fromCondensedLog.apply({ after: 0, changes: log.slice(0, heldRevision) });
      fromCondensedLog.apply({ after: 0, changes: (await readLog(store))! });
      const { revision } = fromCondensedLog.snapshot;
      assert.equal(revision, Math.max(heldRevision, condensedAt));
      fromCondensedLog.apply({ after: revision, changes: log.slice(revision) });
      assert.deepEqual(fromCondensedLog.snapshot, fromFullLog.snapshot);
      assert.deepEqual(fromCondensedLog.since(0), fromFullLog.since(0));
    }),
    { numRuns: 200 },
  );
});

test('a log of several rows is read back completely and replaces the previous one', async () => {
  const store = new FakeTableStore();
  const changes = Array.from({ length: 900 }, (_unused, index) =>
    changeOf(index + 1, index, 'x'.repeat(90)),
  );
  assert.ok(await writeLog(store, changes.slice(0, 800)));
  assert.ok(await writeLog(store, changes));
  assert.deepEqual(await readLog(store), changes);
  const rows = store.table.scan({ table: 'configuration', prefix: 'condensed/', limit: 100 });
  assert.ok(rows.length > 2);
  assert.ok(rows.every((row) => row.key.includes('/000000000900/')));
});

test('one of two concurrent writers wins, and a log with a missing row is not used', async () => {
  const store = new FakeTableStore();
  const head = await readCondensedHead(store, TIMEOUT_MS);
  assert.ok(head.ok);
  assert.ok((await writeCondensed(store, head.value, [changeOf(4, 1)], TIMEOUT_MS)).ok);
  assert.ok(!(await writeCondensed(store, head.value, [changeOf(3, 1)], TIMEOUT_MS)).ok);
  assert.deepEqual(await readLog(store), [changeOf(4, 1)]);
  const lost = { table: 'configuration', key: 'condensed/000000000004/0', value: null };
  await store.transaction({ checks: [], writes: [lost] });
  assert.equal(await readLog(store), null);
});
