import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import type { Attempt } from '../common/protocol/Attempt.js';
import { CLAIM_TABLE, claimKey, type Claim } from '../common/protocol/Claim.js';
import { FakeTableStore } from '../storage/testing/FakeTableStore.js';
import { FakeAgent, type Behaviour } from './testing/FakeAgent.js';
import { errorOf, post, startEntry, type TestEntryOptions } from './testing/fixtures.js';

const KEY = { 'idempotency-key': 'k1' };
const DEPOSIT = {
  name: 'deposit',
  stages: [
    {
      name: 'take',
      kind: 'call',
      pool: 'pool',
      operation: 'deposits',
      idempotent: false,
      input: { body: '$request.sum' },
    },
  ],
};
const RUN: Behaviour = { kind: 'run', output: { receipt: 1 } };
const ROW = { table: CLAIM_TABLE, key: claimKey('alba', 'k1', 'take') };

const cleanUps: (() => Promise<void>)[] = [];
afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

const startAgent = async (id: string, behave: (attempt: Attempt) => Behaviour) => {
  const agent = new FakeAgent(id, behave);
  await agent.listen();
  cleanUps.push(() => agent.close());
  return agent;
};

const start = async (options: Omit<TestEntryOptions, 'templates'>) => {
  const started = await startEntry({ templates: [DEPOSIT], deadlineMs: 900, ...options });
  cleanUps.push(() => started.stop());
  return started;
};

const claimOf = (holder: FakeAgent, overrides: Partial<Claim> = {}): Claim => ({
  state: 'claimed',
  attemptId: 'held',
  agentId: holder.id,
  incarnation: holder.incarnation,
  address: holder.address,
  inputDigest: 'd',
  requestId: 'earlier',
  ...overrides,
});

/**
 * Starts the holder of a claim, an agent that refuses attempts because of the claim until one
 * replaces it, and an entry that lists only this agent.
 */
const startWithClaim = async (overrides: Partial<Claim>, holderBehaviour: Behaviour = RUN) => {
  const holder = await startAgent('holder', () => holderBehaviour);
  const claim = claimOf(holder, overrides);
  const table = new FakeTableStore();
  table.table.transaction({ checks: [], writes: [{ ...ROW, value: claim }] });
  const agent = await startAgent('a', ({ replacesClaim }) =>
    replacesClaim ? RUN : { kind: 'refuse', reason: 'claimed', claim },
  );
  const { url } = await start({ agents: [agent], table });
  const send = () => post(url, 'deposit', { sum: 5 }, KEY);
  return { holder, agent, table, send };
};

/** Sends the attempt of the claim to its holder. */
const sendToHolder = (holder: FakeAgent) =>
  fetch(`http://${holder.address}/v1/attempts`, {
    method: 'POST',
    body: JSON.stringify({
      attemptId: 'held',
      requestId: 'earlier',
      account: 'alba',
      stage: 'take',
      resumeFrom: 0,
    }),
  });

const rowState = (table: FakeTableStore) => (table.table.read(ROW).value as Claim).state;

test('returns the output stored in the row of a finished claim', async () => {
  const { agent, send } = await startWithClaim({ state: 'done', output: '{"receipt":7}' });
  const { status, body } = await send();
  assert.equal(status, 200);
  assert.deepEqual(body.output, { receipt: 7 });
  assert.equal(agent.runs.length, 0);
});

test('joins the running attempt of the claim holder instead of running it again', async () => {
  const running: Behaviour = { kind: 'run', output: { receipt: 8 }, delayMs: 300 };
  const { holder, agent, send } = await startWithClaim({}, running);
  const first = sendToHolder(holder);
  const { body } = await send();
  assert.deepEqual(body.output, { receipt: 8 });
  await first;
  assert.equal(holder.runs.length, 1);
  assert.equal(agent.runs.length, 0);
});

test('replaces the claim of a voided attempt', async () => {
  const { holder, agent, send } = await startWithClaim({}, { kind: 'refuse', reason: 'voided' });
  await sendToHolder(holder);
  assert.equal((await send()).status, 200);
  assert.equal(agent.runs.length, 1);
  assert.equal(agent.runs[0]!.replacesClaim?.attemptId, 'held');
});

test('marks the claim of a restarted holder as unknown, also for later requests', async () => {
  const { agent, table, send } = await startWithClaim({ incarnation: 'earlier' });
  const { status, body } = await send();
  assert.equal(status, 504);
  assert.equal(errorOf(body).outcome, 'unknown');
  assert.equal(rowState(table), 'unknown');
  assert.equal(agent.runs.length, 0);
});

test('leaves the claim of an unreachable holder unchanged, with outcome unknown', async () => {
  const { agent, table, send } = await startWithClaim({ address: '127.0.0.1:9' });
  assert.equal(errorOf((await send()).body).outcome, 'unknown');
  assert.equal(rowState(table), 'claimed');
  assert.equal(agent.runs.length, 0);
});

test('returns the output of an unreachable holder once the claim row has it', async () => {
  const { table, send } = await startWithClaim({ address: '127.0.0.1:9' });
  const response = send();
  setTimeout(() => {
    const value = {
      ...(table.table.read(ROW).value as Claim),
      state: 'done',
      output: '{"late":1}',
    };
    table.table.transaction({ checks: [], writes: [{ ...ROW, value }] });
  }, 300);
  assert.deepEqual((await response).body.output, { late: 1 });
});

test('does not repeat a non-idempotent stage that failed with an unknown outcome', async () => {
  const agent = await startAgent('a', () => ({ kind: 'fail', outcome: 'unknown' }));
  const { url } = await start({ agents: [agent] });
  const { body } = await post(url, 'deposit', { sum: 5 }, KEY);
  assert.deepEqual([errorOf(body).kind, errorOf(body).outcome], ['stage-failed', 'unknown']);
  assert.equal(agent.runs.length, 1);
});

test('reports an unknown outcome if the agent of a running deposit stops responding', async () => {
  const agent = await startAgent('a', () => ({ kind: 'run', output: {}, delayMs: 100 }));
  agent.writeLine = (_line, response) => Object.assign(response, { end: () => response });
  const { url } = await start({ agents: [agent] });
  const sent = post(url, 'deposit', { sum: 5 }, KEY);
  setTimeout(() => agent.close(), 300);
  assert.equal(errorOf((await sent).body).outcome, 'unknown');
});

test('voids a deposit that is still queued at the deadline and reports it as not run', async () => {
  const agent = await startAgent('a', () => ({ kind: 'run', output: {}, waitMs: 5000 }));
  const { url } = await start({ agents: [agent], deadlineMs: 300 });
  const { body } = await post(url, 'deposit', { sum: 5 }, KEY);
  assert.equal(errorOf(body).outcome, 'not-run');
});

test('reports an unknown outcome for a deposit that runs past the deadline', async () => {
  const agent = await startAgent('a', () => ({ kind: 'run', output: {}, delayMs: 1000 }));
  const { url } = await start({ agents: [agent], deadlineMs: 300 });
  const { body } = await post(url, 'deposit', { sum: 5 }, KEY);
  assert.equal(errorOf(body).outcome, 'unknown');
});

test('a retry through another entry joins the running attempt and returns its result', async () => {
  const behave = (): Behaviour => ({ kind: 'run', output: { receipt: 9 }, delayMs: 300 });
  const agents = [await startAgent('a', behave), await startAgent('b', behave)];
  const one = await start({ agents, id: 'one' });
  const two = await start({ agents, id: 'two' });
  const first = post(one.url, 'deposit', { sum: 5 }, KEY);
  const second = post(two.url, 'deposit', { sum: 5 }, KEY);
  assert.deepEqual((await first).body.output, { receipt: 9 });
  assert.deepEqual((await second).body.output, { receipt: 9 });
  assert.equal(agents[0]!.runs.length + agents[1]!.runs.length, 1);
});

test('rejects corrupt frames and frames of other attempts and resends the attempt', async () => {
  const agent = await startAgent('a', () => RUN);
  const damages: ((line: string) => string)[] = [
    (line) => line.slice(0, line.length / 2),
    (line) => line.replace(/"attemptId":"[^"]*"/, '"attemptId":"other"'),
    (line) => line.replace('"account":"alba"', '"account":"other"'),
    (line) => line.replace('receipt', 'recept1'),
    (line) => line.replace(/"digest":"./, '"digest":"_'),
  ];
  let next = 0;
  agent.writeLine = (line, response, type) => {
    if (type !== 'result' || next >= damages.length) {
      response.write(line);
      return;
    }
    response.write(damages[next]!(line));
    next += 1;
  };
  const { url } = await start({ agents: [agent] });
  const { body } = await post(url, 'deposit', { sum: 5 }, KEY);
  assert.deepEqual(body.output, { receipt: 1 });
  assert.equal(agent.runs.length, 1);
  assert.equal(next, damages.length);
});

test('retries with a random id if a derived id was refused for an earlier request', async () => {
  for (const reason of ['queue-full', 'claim-unavailable', 'voided', 'infeasible'] as const) {
    const derived = new Set<string>();
    const agent = await startAgent('a', ({ attemptId }) => {
      // Derived ids are digests of 64 digits; random ones have 32.
      if (attemptId.length !== 64) return RUN;
      derived.add(attemptId);
      return { kind: 'refuse', reason };
    });
    const { url } = await start({ agents: [agent] });
    assert.equal((await post(url, 'deposit', { sum: 5 }, KEY)).status, 200);
    assert.equal(derived.size, 1);
  }
});

test('a deposit survives a short store outage, but is not run after its deadline', async () => {
  for (const outageMs of [250, 5000]) {
    const from = performance.now();
    const agent = await startAgent('a', () =>
      performance.now() - from < outageMs ? { kind: 'refuse', reason: 'claim-unavailable' } : RUN,
    );
    const { url } = await start({ agents: [agent] });
    const { status, body } = await post(url, 'deposit', { sum: 5 }, KEY);
    assert.equal(status, outageMs === 250 ? 200 : 503);
    if (status === 503) assert.equal(errorOf(body).outcome, 'not-run');
    assert.ok(performance.now() - from < 2000);
  }
});
