import assert from 'node:assert/strict';
import { once } from 'node:events';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { createAttempt } from '../common/attempts/testing/AttemptFixture.js';
import { CLAIM_TABLE, Claim, claimKey } from '../common/protocol/Claim.js';
import { HttpTableStore } from '../storage/HttpTableStore.js';
import {
  createControl,
  startStandins,
  submitAttempt,
  type Standins,
} from './testing/AgentFixture.js';
import { createAgentProcesses, waitUntil, type AgentProcesses } from './testing/ProcessFixture.js';

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

test('an agent paused while claiming refuses the attempt after its deadline instead of running it', async () => {
  const { child, address } = await agents.spawn('agent-claim', 'plain');
  await standins.faults('table', { delayMs: 700 });
  const attempt = createAttempt({ idempotent: false, idempotencyKey: 'p', remainingMs: 1500 });
  const frames = submitAttempt(address, attempt);
  const control = createControl(address);
  const { attemptId } = attempt;
  await waitUntil(
    async () => (await control.attempt.status.query({ attemptId })).state === 'claiming',
  );
  child.kill('SIGSTOP');
  await sleep(1500);
  child.kill('SIGCONT');
  const refused = (await frames).at(-1)!;
  assert.ok(refused.type === 'refused');
  assert.equal(refused.reason, 'infeasible');
  assert.deepEqual(await standins.runs('plain'), []);
  await standins.faults('table', { delayMs: 0 });
  const store = new HttpTableStore(standins.url('table'));
  const key = claimKey(attempt.account, 'p', attempt.stage);
  await waitUntil(async () => {
    const rows = await store.read([{ table: CLAIM_TABLE, key }], { timeoutMs: 1000 });
    assert.ok(rows.ok);
    const claim = Claim.safeParse(rows.value[0]!.value);
    return claim.success && claim.data.state === 'void';
  });
  child.kill('SIGTERM');
  const [exitCode] = await once(child, 'exit');
  assert.equal(exitCode, 0);
});
