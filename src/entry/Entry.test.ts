import assert from 'node:assert/strict';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { afterEach, test } from 'node:test';
import { FakeAgent, type Behaviour } from './testing/FakeAgent.js';
import { errorOf, post, startEntry, TOKEN, type TestEntryOptions } from './testing/fixtures.js';

const CHAIN = {
  name: 'chain',
  stages: [
    {
      name: 'find',
      kind: 'call',
      pool: 'pool',
      operation: 'find',
      input: { body: '$request.text' },
    },
    { name: 'write', kind: 'generate', pool: 'pool', input: { prompt: '$find.found' } },
  ],
};

const cleanUps: (() => Promise<void>)[] = [];
afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

const startAgent = async (
  id: string,
  behave: (attempt: { stage: string; input: unknown }) => Behaviour,
) => {
  const agent = new FakeAgent(id, behave);
  await agent.listen();
  cleanUps.push(() => agent.close());
  return agent;
};

const start = async (options: TestEntryOptions) => {
  const started = await startEntry(options);
  cleanUps.push(() => started.stop());
  return started;
};

const runChain = ({ stage, input }: { stage: string; input: unknown }): Behaviour =>
  stage === 'find'
    ? { kind: 'run', output: { found: `found ${(input as { body: string }).body}` } }
    : {
        kind: 'run',
        output: { text: (input as { prompt: string }).prompt },
        chunks: (input as { prompt: string }).prompt.split(/(?<= )/),
      };

test('runs the stages in order, returns the last output and acknowledges each once', async () => {
  const agent = await startAgent('a', runChain);
  const { url, entry, ledger } = await start({ agents: [agent], templates: [CHAIN] });
  const { status, body } = await post(url, 'chain', { text: 'x' });
  assert.equal(status, 200);
  assert.deepEqual(body.output, { text: 'found x' });
  assert.deepEqual(
    (body.stages as { stage: string }[]).map(({ stage }) => stage),
    ['find', 'write'],
  );
  await entry.stop();
  cleanUps.pop();
  assert.equal(agent.acknowledged.filter(({ won }) => won).length, 2);
  assert.equal(ledger.length, 2);
});

test('streams the chunks of the last stage in order', async () => {
  const agent = await startAgent('a', runChain);
  const { url } = await start({ agents: [agent], templates: [CHAIN] });
  const response = await fetch(`${url}/v1/pipelines/chain/requests`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TOKEN}`, accept: 'text/event-stream' },
    body: JSON.stringify({ input: { text: 'x y' } }),
  });
  const events = (await response.text()).split('\n\n').filter(Boolean);
  const names = events.map((event) => /^event: (\w+)/.exec(event)?.[1]);
  assert.deepEqual(names, ['accepted', 'chunk', 'chunk', 'chunk', 'result']);
  assert.match(events[1]!, /"offset":0,"text":"found "/);
});

test('uses another server if the agent of the first one refuses connections', async () => {
  const gone = new FakeAgent('gone', runChain);
  await gone.listen();
  const agent = await startAgent('a', runChain);
  const { url } = await start({ agents: [gone, agent], templates: [CHAIN] });
  await gone.close();
  for (let request = 0; request < 5; request += 1) {
    assert.equal((await post(url, 'chain', { text: 'x' })).status, 200);
  }
});

test('replaces a silent connection without running the attempt again', async () => {
  const agent = await startAgent('a', ({ stage }) => ({
    kind: 'run',
    output: { found: 'x', text: 'x' },
    delayMs: stage === 'find' ? 300 : 0,
  }));
  const first = new Set<object>();
  agent.writeLine = (line, response, type) => {
    if (agent.received.length === 1 && type === 'accepted') first.add(response);
    if (first.has(response) && type !== 'accepted') {
      // The connection stays open without further frames.
      Object.assign(response, { end: () => response });
      return;
    }
    response.write(line);
  };
  const { url } = await start({ agents: [agent], templates: [CHAIN] });
  assert.equal((await post(url, 'chain', { text: 'x' })).status, 200);
  assert.equal(agent.runs.length, 2);
  assert.equal(agent.received.length, 3);
});

test('reports a request that is queued past its deadline as not run', async () => {
  const agent = await startAgent('a', () => ({ kind: 'run', output: {}, waitMs: 2000 }));
  const { url } = await start({ agents: [agent], templates: [CHAIN], deadlineMs: 200 });
  const { status, body } = await post(url, 'chain', { text: 'x' });
  assert.equal(status, 504);
  assert.equal(errorOf(body).outcome, 'not-run');
  assert.equal(agent.runs.length, 0);
});

test('shutdown waits for running requests', async () => {
  const agent = await startAgent('a', () => ({
    kind: 'run',
    output: { found: 'x', text: 'x' },
    delayMs: 200,
  }));
  const { url, entry } = await start({ agents: [agent], templates: [CHAIN] });
  const response = post(url, 'chain', { text: 'x' });
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  cleanUps.pop();
  assert.equal(await entry.stop(), true);
  assert.equal((await response).status, 200);
});

test('shutdown refuses a request whose deadline is later than its end', async () => {
  // Guards against requests that are accepted during a shutdown, run, and are cut off by its end.
  const agent = await startAgent('a', runChain);
  const { url, entry } = await start({
    agents: [agent],
    templates: [CHAIN],
    deadlineMs: 5000,
    shutdown: { balancerDelayMs: 500, deadlineMs: 3000 },
  });
  cleanUps.pop();
  const stopped = entry.stop();
  const { status, body } = await post(url, 'chain', { text: 'x' });
  assert.equal(status, 503);
  assert.equal(errorOf(body).outcome, 'not-run');
  assert.equal(agent.runs.length, 0);
  const short = JSON.stringify({ input: { text: 'x' }, timeoutMs: 1000 });
  assert.equal((await post(url, 'chain', short)).status, 200);
  await stopped;
});

test('a request survives a restart of all servers of its pool', async () => {
  const agent = await startAgent('a', runChain);
  const { url } = await start({ agents: [agent], templates: [CHAIN] });
  const port = Number(agent.address.split(':')[1]);
  await agent.close();
  const response = post(url, 'chain', { text: 'x' });
  await new Promise((resolve) => {
    setTimeout(resolve, 700);
  });
  await agent.listen(port);
  assert.equal((await response).status, 200);
});

test('shutdown does not truncate a response that a slow caller is still reading', async () => {
  const found = 'x'.repeat(4_000_000);
  const agent = await startAgent('a', () => ({ kind: 'run', output: { found, text: found } }));
  const { url, entry } = await start({ agents: [agent], templates: [CHAIN] });
  const response = await new Promise<IncomingMessage>((resolve) => {
    const headers = { authorization: `Bearer ${TOKEN}` };
    sendRequest(`${url}/v1/pipelines/chain/requests`, { method: 'POST', headers }, resolve).end(
      JSON.stringify({ input: { text: 'x' } }),
    );
  });
  cleanUps.pop();
  const stopped = entry.stop();
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  let bytes = 0;
  for await (const part of response) bytes += (part as Buffer).length;
  assert.ok(bytes > 2 * found.length, `response truncated to ${bytes} bytes`);
  assert.equal(await stopped, true);
});
