import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { OrderState } from '../../common/protocol/Backend.js';
import { startStandins, type Standins } from '../testing/AgentFixture.js';
import { createAgentProcesses, waitUntil, type AgentProcesses } from '../testing/ProcessFixture.js';

let standins: Standins;
let agents: AgentProcesses;

before(async () => {
  standins = await startStandins(20);
  agents = await createAgentProcesses(standins);
});

after(async () => {
  await agents.close();
  await standins.close();
});

async function orderState(): Promise<OrderState> {
  const response = await request(`${standins.url('engine')}/v1/orders`);
  return OrderState.parse(await response.body.json());
}

test('an agent paused until its lease has expired sends no order when it resumes', async () => {
  const orders = { fencing: 'ignored', leaseTtlMs: 300, orderTimeoutMs: 100 };
  const fieldsOf = (version: string) => ({
    orders: { ...orders, reconcileIntervalMs: 100, version, models: ['m'] },
  });
  await standins.faults('engine', { ignoreFencing: true });
  const old = await agents.spawn('agent-old', 'engine', fieldsOf('old'));
  await waitUntil(async () => (await orderState()).applied?.version === 'old');
  old.child.kill('SIGSTOP');
  await agents.spawn('agent-new', 'engine', fieldsOf('new'));
  await waitUntil(async () => (await orderState()).applied?.version === 'new');
  const { fencing } = (await orderState()).applied!;
  old.child.kill('SIGCONT');
  await sleep(500);
  const state = await orderState();
  assert.equal(state.applied?.version, 'new');
  assert.equal(state.applied?.fencing, fencing);
  assert.equal(await standins.counter('engine', 'oldOrdersApplied'), 0);
});
