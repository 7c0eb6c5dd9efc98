import assert from 'node:assert/strict';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, test } from 'node:test';
import type { Attempt } from '../common/protocol/Attempt.js';
import type { Explanation } from '../common/protocol/Control.js';
import type { SpanRecord } from '../telemetry/Tracing.js';
import { FakeAgent } from './testing/FakeAgent.js';
import { INTERNAL_TOKEN, post, startEntry } from './testing/fixtures.js';

const PLAIN = {
  name: 'plain',
  stages: [{ name: 'write', kind: 'generate', pool: 'pool', input: { prompt: '$request.text' } }],
};

const cleanUps: (() => Promise<unknown>)[] = [];
after(async () => {
  for (const cleanUp of cleanUps.reverse()) await cleanUp();
});

test('records decisions, spans, metrics and usage of a retried request', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'entry-'));
  cleanUps.push(() => rm(folder, { recursive: true }));
  let failures = 0;
  const behave = ({ attemptId }: Attempt) => {
    failures += 1;
    return failures === 1
      ? ({ kind: 'fail', outcome: 'ran' } as const)
      : ({ kind: 'run', output: { text: attemptId }, chunks: ['a'] } as const);
  };
  const agents = ['a', 'b'].map((id) => new FakeAgent(id, behave));
  for (const agent of agents) {
    await agent.listen();
    cleanUps.push(() => agent.close());
  }
  const file = join(folder, 'spans');
  const started = await startEntry({ agents, templates: [PLAIN], traceFile: file });
  const { body } = await post(started.url, 'plain', { text: 'x' });
  const requestId = String(body.requestId);

  const query = encodeURIComponent(JSON.stringify({ requestId }));
  const response = await fetch(`${started.url}/trpc/explanation.get?input=${query}`, {
    headers: { 'x-citronstage-internal': `Bearer ${INTERNAL_TOKEN}` },
  });
  const { result } = (await response.json()) as { result: { data: Explanation } };
  const actions = result.data.decisions.map(({ action }) => action);
  assert.deepEqual(actions, [
    'admit',
    'send',
    'attempt-ended',
    'retry',
    'send',
    'finish',
    'finish',
  ]);

  const metrics = await (await fetch(`${started.url}/metrics`)).text();
  assert.match(metrics, /entry_decisions_total\{action="retry"[^}]*\} 1/);
  assert.match(metrics, /entry_requests_total\{template="plain",outcome="result"[^}]*\} 1/);
  assert.deepEqual(
    started.ledger.map((row) => row.class),
    ['overhead', 'useful'],
  );

  await started.stop();
  const lines = (await readFile(file, 'utf8')).trim().split('\n');
  const spans = lines.map((line) => JSON.parse(line) as SpanRecord);
  const entry = spans.find(({ name }) => name === 'entry')!;
  const routes = spans.filter(({ name }) => name === 'route');
  assert.deepEqual(
    routes.map(({ parentSpanId, attributes }) => [
      parentSpanId === entry.spanId,
      attributes.outcome,
    ]),
    [
      [true, 'failed'],
      [true, 'result'],
    ],
  );
  const sent = agents.flatMap(({ received }) => received).map(({ traceparent }) => traceparent);
  assert.ok(routes.every(({ spanId }) => sent.some((parent) => parent?.includes(spanId))));
  assert.equal(spans.find(({ name }) => name === 'relay')?.parentSpanId, routes[1]!.spanId);
});
