import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { createLogger } from '../telemetry/Logger.js';
import { HttpMembershipList } from '../storage/HttpMembershipList.js';
import { HttpObjectStore } from '../storage/HttpObjectStore.js';
import { HttpTableStore } from '../storage/HttpTableStore.js';
import { Faults } from './Faults.js';
import { StandinFixture } from './testing/StandinFixture.js';

const OPTIONS = { timeoutMs: 300 };
const ROW = { table: 't', key: 'k' };
const NO_FAULTS = Faults.parse({});
const fixture = new StandinFixture();
let store: HttpTableStore;

before(async () => {
  await fixture.start(
    { kind: 'table' },
    { kind: 'membership' },
    { kind: 'object' },
    { kind: 'plain', serviceTime: { meanMs: 1 } },
  );
  store = new HttpTableStore(fixture.url('table'));
});

after(async () => {
  await store.close();
  await fixture.close();
});

async function write(value: unknown, version?: number): Promise<string> {
  const checks = version === undefined ? [] : [{ ...ROW, version }];
  const result = await store.transaction({ checks, writes: [{ ...ROW, value }] }, OPTIONS);
  return result.ok ? 'ok' : result.error.kind;
}

async function read(): Promise<unknown> {
  const result = await store.read([ROW], OPTIONS);
  return result.ok ? result.value[0]?.value : result.error.kind;
}

test('the table accepts one of two concurrent writes that expect the same version', async () => {
  assert.deepEqual(await Promise.all([write('x', 0), write('x', 0)]), ['ok', 'conflict']);
});

test('a write takes effect when only its response is lost, cut or late, and not otherwise', async () => {
  await write('before');
  const cases: [Partial<Faults>, string, string][] = [
    [{ lostRequestShare: 1 }, 'ambiguous', 'before'],
    [{ errorShare: 1 }, 'ambiguous', 'before'],
    [{ outage: true }, 'unavailable', 'before'],
    [{ hang: true }, 'ambiguous', 'before'],
    [{ lostAnswerShare: 1 }, 'ambiguous', 'after'],
    [{ truncatedShare: 1 }, 'ambiguous', 'after'],
    [{ delayMs: 500 }, 'ambiguous', 'after'],
  ];
  for (const [faults, outcome, value] of cases) {
    await write('before');
    await fixture.setFaults('table', faults);
    assert.equal(await write('after'), outcome, JSON.stringify(faults));
    await fixture.setFaults('table', NO_FAULTS);
    if (faults.delayMs) await sleep(faults.delayMs);
    assert.equal(await read(), value, JSON.stringify(faults));
  }
});

test('stale reads and scans return an earlier state, including rows deleted since', async () => {
  await write('kept');
  await sleep(600);
  await write(null);
  await fixture.setFaults('table', { staleReadMs: 500 });
  const scan = await store.scan({ table: 't', prefix: '', limit: 5 }, OPTIONS);
  assert.equal(await read(), 'kept');
  assert.deepEqual(scan.ok && scan.value.map((row) => row.value), ['kept']);
  await sleep(600);
  assert.equal(await read(), null);
  await fixture.setFaults('table', NO_FAULTS);
});

test('silencing stops open connections without closing them, while new connections work', async () => {
  await write('loud');
  const { body } = await fixture.call('POST', `${fixture.url('table')}/control/silence`);
  assert.ok(body.silenced >= 1);
  assert.equal(await write('unheard'), 'ambiguous');
  assert.equal(await read(), 'loud');
});

test('membership changes become visible after the lag', async () => {
  const list = new HttpMembershipList(fixture.url('membership'), createLogger('test', 'error'));
  const instance = {
    id: 'a',
    role: 'agent',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    region: 'default',
    state: 'live',
  };
  await fixture.setFaults('membership', { lagMs: 500 });
  await fixture.call('PUT', `${fixture.url('membership')}/control/instances`, {
    instances: [instance],
  });
  assert.deepEqual(await list.list(OPTIONS), { ok: true, value: [] });
  await sleep(600);
  assert.deepEqual(await list.list(OPTIONS), { ok: true, value: [instance] });
  await list.close();
});

test('objects are addressed by their complete key, including slashes and escapes', async () => {
  const objects = new HttpObjectStore(fixture.url('object'));
  for (const key of ['a', 'a/b', 'a%2Fb', 'a?b', 'ü b'])
    await objects.put(key, `of ${key}`, OPTIONS);
  assert.deepEqual(await objects.get('a/b', OPTIONS), { ok: true, value: 'of a/b' });
  assert.deepEqual(await objects.get('a%2Fb', OPTIONS), { ok: true, value: 'of a%2Fb' });
  assert.deepEqual(await objects.get('a?b', OPTIONS), { ok: true, value: 'of a?b' });
  assert.deepEqual(await objects.get('c', OPTIONS), { ok: true, value: null });
  await objects.close();
});

test('a plain service does not deduplicate by idempotency key, so that tests can detect a double run', async () => {
  const call = (): Promise<{ body: unknown }> =>
    fixture.call(
      'POST',
      `${fixture.url('plain')}/deposits`,
      { amount: 5 },
      {
        'idempotency-key': 'key-1',
        'x-client-account': 'account-1',
      },
    );
  const answers = [await call(), await call()];
  assert.deepEqual(answers[0], answers[1]);
  const counters = await fixture.counters('plain');
  assert.deepEqual(counters.effectsByKey, { 'deposits key-1': 2 });
  assert.equal(counters.acceleratorMs['account-1'], counters.busyMs);
});

test('an unknown fault is rejected, so that a misspelt fault is not silently ignored', async () => {
  const url = `${fixture.url('plain')}/control/faults`;
  assert.equal((await fixture.call('PUT', url, { outtage: true })).status, 400);
});
