import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { StandinFixture } from '../standin/testing/StandinFixture.js';
import { HttpMembershipList } from './HttpMembershipList.js';

const OPTIONS = { timeoutMs: 1000 };
const fixture = new StandinFixture();
let list: HttpMembershipList;

before(async () => {
  await fixture.start({ kind: 'membership' });
  list = new HttpMembershipList(fixture.url('membership'));
});

after(async () => {
  await list.close();
  await fixture.close();
});

async function setInstances(...ids: string[]): Promise<void> {
  const instances = ids.map((id) => ({
    id,
    role: 'agent',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    state: 'live',
  }));
  await fixture.call('PUT', `${fixture.url('membership')}/control/instances`, { instances });
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
  assert.equal((await fixture.counters('membership')).unchanged, 1);
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
  await fixture.setFaults('membership', { outage: true });
  assert.equal((await list.list(OPTIONS)).ok, false);
  await fixture.setFaults('membership', { outage: false });
  assert.deepEqual(await listIds(), ['a']);
});
