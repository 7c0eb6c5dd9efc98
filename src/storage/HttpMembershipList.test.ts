import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { Standins } from '../standin/testing/Standins.js';
import { HttpMembershipList } from './HttpMembershipList.js';

const OPTIONS = { timeoutMs: 1000 };
const standins = new Standins();
let list: HttpMembershipList;

before(async () => {
  await standins.start({ kind: 'membership' });
  list = new HttpMembershipList(standins.url('membership'));
});

after(async () => {
  await list.close();
  await standins.close();
});

async function setInstances(...ids: string[]): Promise<void> {
  const instances = ids.map((id) => ({
    id,
    role: 'agent',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    state: 'live',
  }));
  await standins.call('PUT', `${standins.url('membership')}/control/instances`, { instances });
}

async function listIds(): Promise<string[]> {
  const result = await list.list(OPTIONS);
  assert.ok(result.ok);
  return result.value.map(({ id }) => id);
}

test('an unchanged list is not transferred again and the same array is returned', async () => {
  await setInstances('a', 'b');
  const first = await list.list(OPTIONS);
  const second = await list.list(OPTIONS);
  assert.ok(first.ok && second.ok);
  assert.equal(second.value, first.value);
  assert.equal((await standins.counters('membership')).unchanged, 1);
});

test('a changed list replaces the cached one, also after a 304 response', async () => {
  await setInstances('a');
  assert.deepEqual(await listIds(), ['a']);
  assert.deepEqual(await listIds(), ['a']);
  await setInstances('a', 'c');
  assert.deepEqual(await listIds(), ['a', 'c']);
  await setInstances('a');
  assert.deepEqual(await listIds(), ['a']);
});

test('an outage is reported as an error and not hidden by the cached list', async () => {
  await listIds();
  await standins.setFaults('membership', { outage: true });
  assert.equal((await list.list(OPTIONS)).ok, false);
  await standins.setFaults('membership', { outage: false });
  assert.deepEqual(await listIds(), ['a']);
});
