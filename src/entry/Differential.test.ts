import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { after, before, test } from 'node:test';
import fc from 'fast-check';
import type { Attempt } from '../common/protocol/Attempt.js';
import type { Claim } from '../common/protocol/Claim.js';
import { Template } from '../common/protocol/Configuration.js';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { FakeAgent, type Behaviour, type LineWriter } from './testing/FakeAgent.js';
import { errorOf, startEntry, TOKEN, type TestEntry } from './testing/fixtures.js';

const SEED = 20_261_204;
const REQUESTS = 80;
const FAULT_PROBABILITY = 0.12;
const PIECE = /.{1,7}/gs;

type Json = Record<string, unknown>;

/** Simulated backend server; a pure function, so that the outputs of both executors are equal. */
const compute = (stage: string, kind: string, input: unknown): Json =>
  kind === 'generate'
    ? { text: `${stage} says ${JSON.stringify(input)}`, length: JSON.stringify(input).length }
    : { out: input, by: { stage } };

/** Reference executor: runs the stages in sequence, without failures. */
const runReference = (template: Template, input: Json): unknown => {
  const scope: Json = { request: input };
  let output: unknown;
  for (const stage of template.stages) {
    const resolved: Json = {};
    for (const [field, value] of Object.entries(stage.input)) {
      let found: unknown = value;
      if (typeof value === 'string' && value.startsWith('$')) {
        found = scope;
        for (const segment of value.slice(1).split('.')) {
          found = Object(found) === found ? (found as Json)[segment] : undefined;
        }
      }
      if (found !== undefined) resolved[field] = found;
    }
    output = compute(stage.name, stage.kind, resolved);
    scope[stage.name] = output;
  }
  return output;
};

const random = new SeededRandom(SEED);

/** Result line of an earlier attempt. */
let earlierResult = '';

/** Faults of a line, chosen with equal probability. */
const LINE_FAULTS: readonly LineWriter[] = [
  // Delayed, so that later lines overtake this one; lost if the stream ends first.
  (line, response) => {
    setTimeout(() => write(response, line), 5);
  },
  (line, response) => {
    write(response, line);
    write(response, line);
  },
  (line, response) => {
    write(response, line.slice(0, line.length / 2));
    response.destroy();
  },
  (_line, response) => response.destroy(),
  (_line, response) => write(response, earlierResult),
  // Altered without a change of length, so that only the digest differs.
  (line, response) =>
    write(response, line.replace('says', 'lies').replace('\\"out\\"', '\\"tuo\\"')),
];

function write(response: ServerResponse, line: string): void {
  if (!response.writableEnded && !response.destroyed) response.write(line);
}

/** Number of connections by attempt id. */
const connections = new Map<string, number>();

/** Selects the first two connections of some attempts, so that the entry tries another agent. */
const isConnectionCut = (attemptId: string, type: string) => {
  if (type !== 'accepted' || !/^[01]/.test(attemptId)) return false;
  connections.set(attemptId, (connections.get(attemptId) ?? 0) + 1);
  return connections.get(attemptId)! <= 2;
};

const writeWithFaults: LineWriter = (line, response, type) => {
  if (isConnectionCut((JSON.parse(line) as Attempt).attemptId, type)) {
    response.destroy();
    return;
  }
  if (random.next() >= FAULT_PROBABILITY) {
    write(response, line);
    return;
  }
  // The text of a chunk has no digest and a change would not be detected, so it is not altered.
  const count = type === 'chunk' ? LINE_FAULTS.length - 1 : LINE_FAULTS.length;
  LINE_FAULTS[Math.floor(random.next() * count)]!(line, response, type);
  if (type === 'result') earlierResult = line;
};

const claims = new Map<string, Claim>();
const agents = ['a', 'b', 'c'].map((id) => new FakeAgent(id, () => ({ kind: 'run', output: 0 })));
let started: TestEntry;

const behaveAs =
  (agent: FakeAgent) =>
  (attempt: Attempt): Behaviour => {
    if (!attempt.idempotent) {
      const key = `${attempt.idempotencyKey}/${attempt.stage}`;
      const claim = claims.get(key);
      const isReplaced = attempt.replacesClaim?.attemptId === claim?.attemptId;
      if (claim && !isReplaced) return { kind: 'refuse', reason: 'claimed', claim };
      const { attemptId, requestId } = attempt;
      const { address, incarnation } = agent;
      const holder = { attemptId, agentId: agent.id, incarnation, address, requestId };
      claims.set(key, { ...holder, state: 'claimed', inputDigest: '' });
    }
    const output = compute(attempt.stage, attempt.kind, attempt.input);
    const chunks = typeof output.text === 'string' ? (output.text.match(PIECE) ?? []) : [];
    return { kind: 'run', output, chunks, delayMs: 1 + Math.floor(random.next() * 4) };
  };

before(async () => {
  for (const agent of agents) {
    agent.behave = behaveAs(agent);
    agent.writeLine = writeWithFaults;
    await agent.listen();
  }
  started = await startEntry({ agents, templates: [], policy: { retryBudget: 1 } });
});
after(async () => {
  await started.stop();
  for (const agent of agents) await agent.close();
});

const reference = (position: number) =>
  fc.oneof(
    fc.constantFrom('$request.a', '$request.b.c', '$request.absent', '$request'),
    fc.nat(Math.max(0, position - 1)).map((earlier) => `$s${earlier}.text`),
    fc.nat(Math.max(0, position - 1)).map((earlier) => `$s${earlier}.out`),
    fc.nat(Math.max(0, position - 1)).map((earlier) => `$s${earlier}.by.stage`),
    fc.constantFrom<unknown>('literal', 7, { deep: ['$not-a-reference'] }),
  );

const stageAt = (position: number) =>
  fc.record({
    name: fc.constant(`s${position}`),
    kind: fc.constantFrom('call', 'generate'),
    pool: fc.constant('pool'),
    operation: fc.constant('work'),
    idempotent: fc.boolean(),
    input: fc.record({ prompt: reference(position), more: reference(position) }),
  });

const templates = fc
  .integer({ min: 1, max: 5 })
  .chain((count) => fc.tuple(...Array.from({ length: count }, (_, position) => stageAt(position))))
  .map((stages) =>
    Template.parse({
      name: 'random',
      stages: stages.map((stage) => ({
        ...stage,
        idempotent: stage.idempotent || stage.kind !== 'call',
      })),
    }),
  );

const inputs = fc.record({
  a: fc.string({ unit: 'grapheme', maxLength: 40 }),
  b: fc.record({ c: fc.oneof(fc.integer(), fc.array(fc.string(), { maxLength: 4 })) }),
});

const send = async (template: Template, input: Json, key: string) => {
  const snapshot = started.configuration.snapshot();
  (snapshot.templates as Map<string, Template>).set('random', template);
  snapshot.accounts.get('alba')!.templates.random = { deadlineMs: 5000 };
  const response = await fetch(`${started.url}/v1/pipelines/random/requests`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${TOKEN}`,
      'idempotency-key': key,
      accept: 'text/event-stream',
    },
    body: JSON.stringify({ input }),
  });
  const events = (await response.text()).split('\n\n').filter(Boolean);
  return events.map((event) => ({
    name: /^event: (.*)$/m.exec(event)![1]!,
    data: JSON.parse(/^data: (.*)$/m.exec(event)![1]!) as Json,
  }));
};

test('frame stream faults never alter an output or repeat a non-idempotent stage', async () => {
  let served = 0;
  let sent = 0;
  const property = fc.asyncProperty(templates, inputs, async (template, input) => {
    sent += 1;
    const key = `key-${sent}`;
    const events = await send(template, input, key);
    const last = events.at(-1)!;
    const runs = agents.flatMap((agent) => agent.runs).filter((run) => run.idempotencyKey === key);
    const claimed = runs.filter((run) => !run.idempotent).map((run) => run.stage);
    assert.equal(new Set(claimed).size, claimed.length, 'a non-idempotent stage ran twice');
    const chunks = events.filter(({ name }) => name === 'chunk').map(({ data }) => data);
    assert.ok(chunks.every((chunk, position) => chunk.offset === position));
    if (last.name === 'error') {
      const { outcome } = errorOf(last.data);
      if (outcome === 'not-run') assert.equal(runs.length, 0);
      if (outcome === 'ran') assert.ok(runs.length > 0);
      return;
    }
    served += 1;
    const expected = runReference(template, JSON.parse(JSON.stringify(input)) as Json);
    assert.deepEqual(last.data.output, expected);
    const { text } = expected as { text?: string };
    if (text) assert.equal(chunks.map((chunk) => chunk.text).join(''), text);
  });
  await fc.assert(property, { seed: SEED, numRuns: REQUESTS, endOnFailure: true });
  assert.ok(served > REQUESTS / 2, `got only ${served} results from ${sent} requests`);
});
