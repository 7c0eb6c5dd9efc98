import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { FakeAgent, type Behaviour } from './testing/FakeAgent.js';
import { errorOf, post, startEntry, type TestEntryOptions } from './testing/fixtures.js';

const PLAIN = {
  name: 'plain',
  stages: [
    {
      name: 'find',
      kind: 'call',
      pool: 'pool',
      operation: 'find',
      input: { body: '$request.text' },
    },
  ],
};
const QUICK: Behaviour = { kind: 'run', output: { found: 1 }, delayMs: 5 };
const INPUT = { text: 'x' };

const cleanUps: (() => Promise<void>)[] = [];
afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) await cleanUp();
});

/** Starts two agents and an entry with enough results to know the expected time of the stage. */
const startWithLatencyHistory = async (policy: TestEntryOptions['policy'], deadlineMs = 5000) => {
  const agents = ['a', 'b'].map((id) => new FakeAgent(id, () => QUICK));
  for (const agent of agents) {
    await agent.listen();
    cleanUps.push(() => agent.close());
  }
  const started = await startEntry({ agents, templates: [PLAIN], policy, deadlineMs });
  cleanUps.push(() => started.stop());
  const send = () => post(started.url, 'plain', INPUT);
  await Promise.all(Array.from({ length: 24 }, send));
  // Latency quantiles are recomputed periodically.
  await new Promise((resolve) => {
    setTimeout(resolve, 300);
  });
  await send();
  return { agents, send };
};

/** Delays the next attempt, whichever agent receives it. */
const delayNextAttempt = (agents: readonly FakeAgent[], delayMs: number) => {
  let isFirst = true;
  const behave = (): Behaviour => {
    const behaviour = isFirst ? { ...QUICK, delayMs } : QUICK;
    isFirst = false;
    return behaviour;
  };
  agents.forEach((agent) => Object.assign(agent, { behave }));
};

test('hedges a slow idempotent stage and cancels the losing attempt', async () => {
  const { agents, send } = await startWithLatencyHistory({ hedging: true, hedgeBudget: 1 });
  delayNextAttempt(agents, 2000);
  const startedAt = performance.now();
  assert.equal((await send()).status, 200);
  assert.ok(performance.now() - startedAt < 1500);
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  assert.equal(agents[0]!.cancelled.length + agents[1]!.cancelled.length, 1);
});

test('does not hedge a slow stage if hedging is disabled or the hedge budget is 0', async () => {
  for (const policy of [{ hedging: false }, { hedgeBudget: 0 }]) {
    const { agents, send } = await startWithLatencyHistory(policy);
    delayNextAttempt(agents, 150);
    const before = agents[0]!.runs.length + agents[1]!.runs.length;
    assert.equal((await send()).status, 200);
    assert.equal(agents[0]!.runs.length + agents[1]!.runs.length, before + 1);
  }
});

test('refuses a request that can not meet its deadline, unless the check is disabled', async () => {
  for (const feasibility of [true, false]) {
    const { agents, send } = await startWithLatencyHistory({ feasibility }, 500);
    for (const agent of agents) agent.waitMs = 3000;
    await Promise.all(Array.from({ length: 8 }, send));
    const received = agents[0]!.received.length + agents[1]!.received.length;
    const { status, body } = await send();
    assert.equal(status, feasibility ? 503 : 200);
    if (feasibility) {
      assert.deepEqual([errorOf(body).kind, errorOf(body).outcome], ['infeasible', 'not-run']);
      assert.equal(agents[0]!.received.length + agents[1]!.received.length, received);
    }
  }
});
