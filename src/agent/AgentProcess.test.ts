import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { request } from 'undici';
import { createAttempt } from '../common/attempts/testing/AttemptFixture.js';
import { sha256 } from '../common/Digest.js';
import { ATTEMPT_PATH } from '../common/protocol/Attempt.js';
import { LEDGER_TABLE, LedgerRow } from '../common/protocol/Ledger.js';
import { HttpTableStore } from '../storage/HttpTableStore.js';
import type { SpanRecord } from '../telemetry/Tracing.js';
import {
  startAgent,
  startStandins,
  type RunningAgent,
  type Standins,
} from './testing/AgentFixture.js';

let standins: Standins;
let agent: RunningAgent;

before(async () => {
  standins = await startStandins(300);
  agent = await startAgent(standins, 'plain', { backend: backendOf('plain') });
});

after(async () => {
  await agent.process.stop();
  await standins.close();
});

function backendOf(name: string, slots = 8) {
  return { id: 'server-1', url: standins.url(name), pool: 'pool', slots };
}

async function acknowledge(attemptId: string, target = agent): Promise<void> {
  await target.control.attempt.acknowledge.mutate({ attempts: [{ attemptId, won: true }] });
}

test('an attempt is accepted first and ends with a result of matching digest, length and ids', async () => {
  const attempt = createAttempt();
  const frames = await agent.submit(attempt);
  const types = frames.map((frame) => frame.type);
  assert.equal(types[0], 'accepted');
  const result = frames.at(-1)!;
  assert.ok(result.type === 'result');
  assert.equal(result.digest, sha256(result.output));
  assert.equal(result.length, Buffer.byteLength(result.output));
  assert.equal(result.requestId, attempt.requestId);
  assert.equal(result.incarnation, agent.incarnation);
  await acknowledge(attempt.attemptId);
});

test('an attempt sent on two connections runs once, because the second one joins it', async () => {
  const attempt = createAttempt({ idempotent: false, idempotencyKey: 'join' });
  const [first, second] = await Promise.all([agent.submit(attempt), agent.submit(attempt)]);
  assert.equal(first.at(-1)!.type, 'result');
  assert.equal(second.at(-1)!.type, 'result');
  const runs = await standins.runs('plain');
  assert.equal(runs.filter((run) => run.attemptId === attempt.attemptId).length, 1);
  await acknowledge(attempt.attemptId);
});

test('a request that joins an attempt gets its result as replayed, so usage is charged once', async () => {
  const first = createAttempt({ idempotencyKey: 'charge' });
  const frames = await Promise.all([
    agent.submit(first),
    agent.submit({ ...first, requestId: 'another-request' }),
  ]);
  const replayed = frames.map((list) => {
    const last = list.at(-1)!;
    return [last.type === 'result' && last.requestId, last.type === 'result' && last.replayed];
  });
  assert.deepEqual(replayed, [
    [first.requestId, false],
    ['another-request', true],
  ]);
  await acknowledge(first.attemptId);
});

test('a new attempt with the key of a finished one gets the stored result without a second run', async () => {
  const first = createAttempt({ idempotent: false, idempotencyKey: 'replay' });
  const [ran] = (await agent.submit(first)).slice(-1);
  await acknowledge(first.attemptId);
  const second = createAttempt({ idempotent: false, idempotencyKey: 'replay' });
  const [replayed] = (await agent.submit(second)).slice(-1);
  assert.ok(ran?.type === 'result' && replayed?.type === 'result');
  assert.equal(replayed.replayed, true);
  assert.equal(replayed.output, ran.output);
  const runs = await standins.runs('plain');
  assert.equal(runs.filter((run) => run.attemptId === second.attemptId).length, 0);
});

test('a key reused with another input is refused, so it never returns the result of the first', async () => {
  const fields = { idempotent: false, idempotencyKey: 'reused' };
  await agent.submit(createAttempt(fields));
  const secondAttempt = createAttempt({ ...fields, input: { body: { amount: 2 } } });
  const [frame] = (await agent.submit(secondAttempt)).slice(-1);
  assert.ok(frame?.type === 'refused');
  assert.equal(frame.reason, 'idempotency-key-reused');
});

test('while the table service is down, only non-idempotent attempts are refused, without a run', async () => {
  await standins.faults('table', { outage: true });
  const plain = createAttempt();
  const claimed = createAttempt({ idempotent: false, idempotencyKey: 'outage' });
  const [first, second] = await Promise.all([agent.submit(plain), agent.submit(claimed)]);
  await standins.faults('table', { outage: false });
  assert.equal(first.at(-1)!.type, 'result');
  const refused = second.at(-1)!;
  assert.ok(refused.type === 'refused');
  assert.equal(refused.reason, 'claim-unavailable');
  const runs = await standins.runs('plain');
  assert.equal(runs.filter((run) => run.attemptId === claimed.attemptId).length, 0);
});

test('attempts without the internal token are rejected with status 401', async () => {
  const url = `http://${agent.address}${ATTEMPT_PATH}`;
  const response = await request(url, { method: 'POST', body: JSON.stringify(createAttempt()) });
  assert.equal(response.statusCode, 401);
  await response.body.dump();
});

test('the health, readiness and metrics endpoints respond with status 200', async () => {
  for (const path of ['/healthz', '/readyz', '/metrics']) {
    const response = await request(`http://${agent.address}${path}`);
    assert.equal(response.statusCode, 200, path);
    const text = await response.body.text();
    if (path === '/metrics') assert.match(text, /agent_attempts/);
  }
});

test('a generate attempt that resumes at an offset gets only the chunks from there on', async () => {
  const otherAgent = await startAgent(standins, 'engine');
  const input = { prompt: 'a b c', maxTokens: 8 };
  const attempt = createAttempt({ kind: 'generate', operation: undefined, model: 'm', input });
  const complete = await otherAgent.submit(attempt);
  const resumed = await otherAgent.submit({ ...attempt, resumeFrom: 3 });
  const offsets = (frames: typeof complete) =>
    frames.flatMap((frame) => (frame.type === 'chunk' ? [frame.offset] : []));
  const result = complete.at(-1)!;
  assert.ok(result.type === 'result');
  assert.deepEqual(offsets(complete), [...Array(result.chunks).keys()]);
  assert.deepEqual(offsets(resumed), offsets(complete).slice(3));
  const text = complete.map((frame) => (frame.type === 'chunk' ? frame.text : '')).join('');
  assert.deepEqual(JSON.parse(result.output), { text });
  await acknowledge(attempt.attemptId, otherAgent);
  await otherAgent.process.stop();
});

test('a shutdown finishes running attempts, delivers their results and refuses waiting ones', async () => {
  const otherAgent = await startAgent(standins, 'plain', { backend: backendOf('plain', 1) });
  const [running, waiting] = [createAttempt(), createAttempt()];
  const first = otherAgent.submit(running);
  const second = otherAgent.submit(waiting);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  const stopped = otherAgent.process.stop();
  assert.equal((await first).at(-1)!.type, 'result');
  const refused = (await second).at(-1)!;
  assert.ok(refused.type === 'refused');
  assert.equal(refused.reason, 'draining');
  await acknowledge(running.attemptId, otherAgent);
  await stopped;
});

test('a shutdown writes usage and spans before the process ends, so an update loses no costs', async () => {
  const directory = await mkdtemp(join(tmpdir(), 'citronstage-agent-'));
  const file = join(directory, 'spans');
  const otherAgent = await startAgent(standins, 'plain', { id: 'metered', tracing: { file } });
  const traceId = '0af7651916cd43dd8448eb211c80319c';
  const parentSpanId = 'b7ad6b7169203331';
  const attempt = createAttempt({
    idempotent: false,
    idempotencyKey: 'metered',
    traceparent: `00-${traceId}-${parentSpanId}-01`,
  });
  const unused = createAttempt();
  await Promise.all([otherAgent.submit(attempt), otherAgent.submit(unused)]);
  const attempts = [
    { attemptId: attempt.attemptId, won: true },
    { attemptId: unused.attemptId, won: false },
  ];
  await otherAgent.control.attempt.acknowledge.mutate({ attempts });
  await otherAgent.process.stop();
  const spans = (await readFile(file, 'utf8'))
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as SpanRecord);
  assert.deepEqual(
    spans.map((span) => [span.name, span.traceId, span.parentSpanId]),
    ['queue', 'claim', 'backend'].map((name) => [name, traceId, parentSpanId]),
  );
  const store = new HttpTableStore(standins.url('table'));
  const range = { table: LEDGER_TABLE, prefix: 'agent/metered/', limit: 10 };
  const rows = await store.scan(range, { timeoutMs: 1000 });
  assert.ok(rows.ok);
  const entries = rows.value.flatMap((row) => LedgerRow.parse(row.value).entries);
  const counts = entries.map((entry) => [entry.class, entry.attempts, entry.usage.calls]);
  assert.deepEqual(counts.sort(), [
    ['overhead', 1, 1],
    ['useful', 1, 1],
  ]);
  await rm(directory, { recursive: true });
});
