import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { CompletionChunk } from '../../common/protocol/Backend.js';
import { completionTokens } from '../BackendOutput.js';
import { StandinFixture, type StandinServiceOptions } from '../testing/StandinFixture.js';

const FAST: StandinServiceOptions = {
  kind: 'engine',
  tokensPerSecond: 500,
  promptTokensPerSecond: 100_000,
  resumeGraceMs: 400,
  cacheEventGapShare: 0,
  cacheEventLagMs: 0,
};
const fixture = new StandinFixture();

before(() =>
  fixture.start(
    { ...FAST, name: 'sums', slots: 4 },
    { ...FAST, name: 'resume' },
    { ...FAST, name: 'orders', weightsUrl: 'http://127.0.0.1:1' },
    { ...FAST, name: 'queue', slots: 1 },
    { ...FAST, name: 'cache', cacheTokens: 640 },
    { kind: 'weights', modelBytes: 100_000, bytesPerSecond: 200_000 },
  ),
);

after(() => fixture.close());

function body(id: string, tokens: number, prompt = `prompt of ${id}`, extra = {}) {
  return { model: 'm', prompt, max_tokens: tokens, stream: true, request_id: id, ...extra };
}

interface StreamEnd {
  readonly chunks: CompletionChunk[];
  readonly isDone: boolean;
}

/** Reads a stream to its end, or closes the connection after `closeAfter` chunks. */
async function stream(name: string, sent: object, closeAfter = Infinity): Promise<StreamEnd> {
  const account = { 'x-client-account': `account-${JSON.stringify(sent).length % 2}` };
  const abort = new AbortController();
  const response = await request(`${fixture.url(name)}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify(sent),
    headers: account,
    signal: abort.signal,
  });
  let text = '';
  try {
    for await (const part of response.body) {
      text += String(part);
      if (text.split('\n\n').length > closeAfter) abort.abort();
    }
  } catch {
    // The test or a fault closed the connection.
  }
  const events = text
    .split('\n\n')
    .slice(0, -1)
    .map((event) => event.slice('data: '.length));
  return {
    chunks: events
      .filter((event) => event !== '[DONE]')
      .map((event) => CompletionChunk.parse(JSON.parse(event))),
    isDone: events.at(-1) === '[DONE]',
  };
}

function textOf(chunks: readonly CompletionChunk[]): string {
  return chunks.map((chunk) => chunk.choices[0]?.text).join('');
}

test('the busy times of all runs, including cancelled ones, add up to the busy time of the engine', async () => {
  const ids = Array.from({ length: 12 }, (_unused, index) => `sum-${index}`);
  const ends = await Promise.all(
    ids.map((id, index) =>
      index % 4 === 0 ? stream('sums', body(id, 2000), 3) : stream('sums', body(id, 20 + index)),
    ),
  );
  let counters = await fixture.counters('sums');
  while (counters.running > 0) {
    await sleep(20);
    counters = await fixture.counters('sums');
  }
  const runs = await fixture.call('GET', `${fixture.url('sums')}/control/runs`);
  const sum = (values: number[]): number => values.reduce((left, right) => left + right, 0);
  const busyOfRuns = sum(runs.body.map((run: { acceleratorMs: number }) => run.acceleratorMs));
  assert.ok(Math.abs(busyOfRuns - counters.busyMs) < 1e-6);
  assert.ok(Math.abs(sum(Object.values(counters.acceleratorMs)) - counters.busyMs) < 1e-6);
  assert.deepEqual([counters.runsFinished, counters.cancelled], [9, 3]);
  const reported = ends[1]!.chunks.at(-1)!.usage!.accelerator_ms;
  const recorded = runs.body.find((run: { attemptId: string }) => run.attemptId === 'sum-1');
  assert.equal(reported, recorded.acceleratorMs);
});

test('a stream resumes on a new connection without missing or duplicate chunks', async () => {
  const sent = body('resumed', 60);
  const first = await stream('resume', sent, 10);
  const second = await stream('resume', { ...sent, resume_from: first.chunks.length });
  const chunks = [...first.chunks, ...second.chunks];
  assert.deepEqual(
    chunks.map((chunk) => chunk.offset),
    [...Array(60).keys()],
  );
  assert.equal(textOf(chunks), completionTokens(sent).join(''));
  assert.equal(second.isDone, true);
  assert.equal((await fixture.counters('resume')).runs, 1);
});

test('a truncated stream can be resumed; an unread completion is cancelled after the grace time', async () => {
  await fixture.setFaults('resume', { truncatedShare: 1 });
  const cut = await stream('resume', body('truncated', 20));
  await fixture.setFaults('resume', { truncatedShare: 0 });
  // undici may drop the last bytes received before the connection closed.
  const received = cut.chunks.length;
  assert.ok(received > 0 && received <= 10);
  assert.equal(cut.isDone, false);
  const rest = await stream('resume', body('truncated', 20, undefined, { resume_from: received }));
  assert.equal(rest.chunks.length, 20 - received);

  await stream('resume', body('unread', 1000), 3);
  await sleep(800);
  const late = await stream('resume', body('unread', 1000, undefined, { resume_from: 3 }));
  assert.deepEqual(late, { chunks: [], isDone: false });
  assert.equal((await fixture.counters('resume')).cancelled, 1);
});

test('silencing a connection does not end its stream, and the completion can be resumed on a new one', async () => {
  const sent = body('silenced', 300);
  const earlier = await fixture.counters('resume');
  let isOver = false;
  let chunks = 0;
  const silenced = request(`${fixture.url('resume')}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify(sent),
  }).then(async (response) => {
    for await (const part of response.body) chunks += String(part).split('\n\n').length - 1;
    isOver = true;
  });
  while (chunks < 5) await sleep(1);
  await fixture.call('POST', `${fixture.url('resume')}/control/silence`);
  await sleep(50);
  const received = chunks;
  const rest = await stream('resume', { ...sent, resume_from: received });
  assert.deepEqual([rest.chunks.length, rest.isDone], [300 - received, true]);
  assert.deepEqual([chunks, isOver], [received, false]);
  const counters = await fixture.counters('resume');
  assert.deepEqual([counters.runs, counters.cancelled], [earlier.runs + 1, earlier.cancelled]);
  // The request ends when the service closes.
  silenced.catch(() => undefined);
});

test('the response to a cancellation has the final usage, so that cancelled work can be billed', async () => {
  const url = `${fixture.url('resume')}/v1/completions/deleted`;
  const earlier = await fixture.counters('resume');
  const reading = stream('resume', body('deleted', 2000));
  await sleep(50);
  const answer = await fixture.call('DELETE', url);
  assert.equal((await reading).isDone, false);
  const runs = await fixture.call('GET', `${fixture.url('resume')}/control/runs`);
  const run = runs.body.find((entry: { attemptId: string }) => entry.attemptId === 'deleted');
  assert.equal(answer.body.usage.accelerator_ms, run.acceleratorMs);
  assert.deepEqual((await fixture.call('DELETE', url)).body, answer.body);
  const counters = await fixture.counters('resume');
  assert.deepEqual([counters.running, counters.cancelled], [0, earlier.cancelled + 1]);
});

test('a request id that is in use for another prompt is rejected', async () => {
  await stream('resume', body('same', 2));
  const url = `${fixture.url('resume')}/v1/completions`;
  assert.equal((await fixture.call('POST', url, body('same', 2, 'other'))).status, 409);
});

test('waiting completions start in the order of their priorities', async () => {
  const order: string[] = [];
  const run = async (id: string, priority: number, tokens = 2): Promise<void> => {
    await stream('queue', body(id, tokens, undefined, { priority }));
    order.push(id);
  };
  const running = run('running', 0, 250);
  await sleep(20);
  const waiting = [run('low', 1)];
  await sleep(10);
  waiting.push(run('high', 5));
  await Promise.all([running, ...waiting]);
  assert.deepEqual(order, ['running', 'high', 'low']);
});

test('a cached prefix is not processed again; evictions are reported as cache events', async () => {
  const prompt = 'a'.repeat(2048);
  const cost = async (id: string, text: string): Promise<number> => {
    const { chunks } = await stream('cache', body(id, 1, text));
    return chunks[0]!.usage!.accelerator_ms!;
  };
  const cold = await cost('cold', prompt);
  const warm = await cost('warm', prompt);
  assert.ok(Math.abs(cold - 5.12) < 1e-9 && Math.abs(warm - 0.01) < 1e-9);
  await cost('other', 'b'.repeat(2048));
  const { body: events } = await fixture.call('GET', `${fixture.url('cache')}/v1/cache-events`);
  const types = events.events.map((event: { type: string }) => event.type);
  assert.equal(types.filter((type: string) => type === 'stored').length, 16);
  assert.equal(types.filter((type: string) => type === 'evicted').length, 6);
  assert.equal(await cost('evicted', prompt), cold);
});

test('an order with an old fencing number is rejected, unless the fault ignoreFencing is set', async () => {
  const url = `${fixture.url('orders')}/v1/orders`;
  const order = (fencing: number, version: string): Promise<{ status: number }> =>
    fixture.call('POST', url, {
      fencing,
      holder: 'h',
      models: [],
      adapters: [],
      version,
      role: 'mixed',
    });
  assert.equal((await order(2, 'new')).status, 200);
  assert.equal((await order(1, 'old')).status, 409);
  assert.equal((await fixture.call('GET', url)).body.applied.version, 'new');
  await fixture.setFaults('orders', { ignoreFencing: true });
  assert.equal((await order(1, 'old')).status, 200);
  const state = (await fixture.call('GET', url)).body;
  assert.deepEqual([state.applied.version, state.highestFencing], ['old', 2]);
});

test('a model is served only after its download from the rate-limited weight store', async () => {
  await fixture.start({ ...FAST, name: 'loading', weightsUrl: fixture.url('weights') });
  const url = fixture.url('loading');
  const order = {
    fencing: 1,
    holder: 'h',
    models: ['m'],
    adapters: [],
    version: '1',
    role: 'mixed',
  };
  const startedAt = performance.now();
  await fixture.call('POST', `${url}/v1/orders`, order);
  assert.equal((await fixture.call('POST', `${url}/v1/completions`, body('l', 1))).status, 503);
  while ((await fixture.counters('loading')).modelsLoaded === 0) await sleep(10);
  assert.ok(performance.now() - startedAt > 400);
  assert.equal((await stream('loading', body('l2', 2))).isDone, true);
});
