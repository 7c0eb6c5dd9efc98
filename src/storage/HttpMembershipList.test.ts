import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { StandinFixture } from '../standin/testing/StandinFixture.js';
import { createLogger } from '../telemetry/Logger.js';
import { HttpMembershipList } from './HttpMembershipList.js';

const OPTIONS = { timeoutMs: 1000 };
const fixture = new StandinFixture();
let list: HttpMembershipList;

before(async () => {
  await fixture.start({ kind: 'membership' });
  list = new HttpMembershipList(fixture.url('membership'), createLogger('test', 'error'));
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

test('an entry that is invalid is ignored and logged, and the others hold', async () => {
  // Guards against one entry of another writer that stops all processes from following the list.
  const valid = {
    id: 'a',
    role: 'agent',
    address: '127.0.0.1:1',
    failureDomain: 'd',
    state: 'live',
  };
  const invalid = [null, 7, {}, { ...valid, address: '127.0.0.1:70000' }, { ...valid, role: 'x' }];
  const server = createServer((_request, response) => {
    response.end(JSON.stringify({ instances: [...invalid, valid] }));
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const lines: string[] = [];
  const logger = createLogger('test', 'warn', (line) => lines.push(line));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const other = new HttpMembershipList(url, logger);
  const result = await other.list(OPTIONS);
  assert.deepEqual(result.ok && result.value.map(({ id }) => id), ['a']);
  assert.equal(lines.length, invalid.length);
  await other.close();
  server.close();
});
