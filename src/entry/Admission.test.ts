import assert from 'node:assert/strict';
import { request as sendRequest } from 'node:http';
import { after, before, test } from 'node:test';
import { MAX_REQUEST_BYTES } from '../common/protocol/CallerRequest.js';
import { FakeAgent } from './testing/FakeAgent.js';
import { errorOf, post, startEntry, TOKEN, type TestEntry } from './testing/fixtures.js';

const text = { type: 'object', properties: { body: { type: 'string' } }, required: ['body'] };
const call = { kind: 'call', pool: 'pool', operation: 'find', input: { body: '$request.text' } };
const TEMPLATES = [
  { name: 'plain', stages: [{ ...call, name: 'find', inputSchema: text }] },
  { name: 'deposit', stages: [{ ...call, name: 'take', idempotent: false }] },
  {
    name: 'wrong-output',
    stages: [{ ...call, name: 'find', outputSchema: { type: 'object', required: ['absent'] } }],
  },
];

let agent: FakeAgent;
let started: TestEntry;
before(async () => {
  agent = new FakeAgent('a', () => ({ kind: 'run', output: { found: 1 }, delayMs: 300 }));
  await agent.listen();
  started = await startEntry({ agents: [agent], templates: TEMPLATES });
});
after(async () => {
  await started.stop();
  await agent.close();
});

const input = { text: 'x' };
const refused: readonly [
  name: string,
  template: string,
  body: unknown,
  headers: Record<string, string>,
  status: number,
  kind: string,
][] = [
  ['malformed JSON', 'plain', '{"input": ', {}, 400, 'bad-request'],
  ['a body that is not an object', 'plain', '[]', {}, 400, 'bad-request'],
  ['an unknown field', 'plain', '{"input": {}, "extra": 1}', {}, 400, 'bad-request'],
  ['a time-out of zero', 'plain', '{"input": {}, "timeoutMs": 0}', {}, 400, 'bad-request'],
  ['a negative time-out', 'plain', '{"input": {}, "timeoutMs": -5}', {}, 400, 'bad-request'],
  ['a body over the size limit', 'plain', 'x'.repeat(MAX_REQUEST_BYTES + 1), {}, 413, 'too-large'],
  ['an unknown template', 'absent', input, {}, 404, 'not-found'],
  ['an unknown token', 'plain', input, { authorization: 'Bearer wrong' }, 401, 'unauthenticated'],
  ['a missing token', 'plain', input, { authorization: '' }, 401, 'unauthenticated'],
  ['a missing idempotency key', 'deposit', input, {}, 400, 'idempotency-key-required'],
  ['an overlong key', 'deposit', input, { 'idempotency-key': 'k'.repeat(257) }, 400, 'bad-request'],
  ['an input of the wrong type', 'plain', { text: 1 }, {}, 400, 'bad-request'],
  ['an input without a required field', 'plain', {}, {}, 400, 'bad-request'],
];

refused.forEach(([name, template, body, headers, status, kind]) => {
  test(`refuses ${name} with outcome not-run and dispatches no attempt`, async () => {
    const received = agent.received.length;
    const response = await post(started.url, template, body, headers);
    assert.equal(response.status, status);
    assert.equal(errorOf(response.body).kind, kind);
    assert.equal(errorOf(response.body).outcome, 'not-run');
    assert.equal(agent.received.length, received);
  });
});

test('refuses a template to which the account is not entitled', async () => {
  const snapshot = started.configuration.snapshot();
  const account = snapshot.accounts.get('alba')!;
  const { plain } = account.templates;
  delete account.templates.plain;
  const response = await post(started.url, 'plain', input);
  account.templates.plain = plain!;
  assert.equal(response.status, 403);
  assert.equal(errorOf(response.body).outcome, 'not-run');
});

test('an output that violates the schema fails the stage with outcome ran', async () => {
  const response = await post(started.url, 'wrong-output', input);
  assert.equal(response.status, 502);
  assert.deepEqual(
    [errorOf(response.body).kind, errorOf(response.body).outcome],
    ['stage-failed', 'ran'],
  );
});

test('cancels the running idempotent stage of a caller that disconnects', async () => {
  const cancelled = agent.cancelled.length;
  const request = sendRequest(`${started.url}/v1/pipelines/plain/requests`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TOKEN}` },
  });
  request.on('error', () => undefined);
  request.end(JSON.stringify({ input }));
  await sleep(100);
  request.destroy();
  await sleep(150);
  assert.equal(agent.cancelled.length, cancelled + 1);
});

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
