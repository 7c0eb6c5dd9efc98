/** Promise 4: a non-idempotent request runs at most once, and no key is stuck afterwards. */
import { setTimeout as sleep } from 'node:timers/promises';
import { canonicalJson } from '../../common/Digest.js';
import type { Run } from '../../standin/Faults.js';
import type { CallerAnswer } from '../client/CallerClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { KeyedCalls, type KeyRecord } from './KeyedCalls.js';
import { heal } from './Recovery.js';
import { withCluster } from './WithCluster.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';

const POOLS = ['bookings', 'orders'];
const TEMPLATES = ['deposit', 'job-claim'];
const KEYS_PER_SECOND = 8;
const FAULT_INTERVAL_MS = 450;
const RETRY_PAUSE_MS = 200;

/** Time for ejections and pending row writes to end once everything is healthy. */
const SETTLE_MS = 3000;

const FAULTS: readonly FaultName[] = [
  'kill-agent',
  'kill-entry',
  'freeze-agent',
  'freeze-entry',
  'silent-connections',
  'table-lost-answers',
  'table-outage',
];

/** The baseline has no agents; its servers lose answers instead. */
const BASELINE_FAULTS: readonly FaultName[] = [
  'kill-entry',
  'freeze-entry',
  'silent-connections',
  'server-lost-answers',
  'table-outage',
];

export const AT_MOST_ONCE: Proof = {
  description: 'deposits and job claims run at most once, replays give the first result',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const calls = new KeyedCalls(cluster, TEMPLATES, context.random);
  const faults = cluster.naive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  await injector.during(() => calls.run(context.seconds, KEYS_PER_SECOND));
  context.progress(`${calls.records.length} keys sent; replaying all of them without faults`);
  await heal(cluster);
  await sleep(SETTLE_MS);
  const last = await Promise.all(calls.records.map((record) => replay(calls, record)));
  const runs = await runsByKey(cluster);
  const violations = calls.records.flatMap((record, position) =>
    judge(record, last[position]!, runs.get(keyOf(record.account.id, record.key)) ?? []),
  );
  const answers = calls.records.flatMap((record) => record.answers);
  const figures = { keys: calls.records.length, unknownAtEnd: last.filter(isUnknown).length };
  return { requests: answers.length, faults: injector.counts, violations, figures };
}

/** Sends a key until it gives a result or a final unknown outcome, or its deadline has passed. */
async function replay(calls: KeyedCalls, record: KeyRecord): Promise<CallerAnswer> {
  const giveUpAt = Date.now() + record.traffic.deadlineMs;
  let answer = await calls.send(record);
  while (!isFinal(answer) && Date.now() < giveUpAt) {
    await sleep(RETRY_PAUSE_MS);
    answer = await calls.send(record);
  }
  return answer;
}

function isUnknown(answer: CallerAnswer): boolean {
  return answer.kind === 'error' && answer.error.outcome === 'unknown';
}

function isFinal(answer: CallerAnswer): boolean {
  return answer.kind === 'result' || isUnknown(answer);
}

async function runsByKey(cluster: Cluster): Promise<Map<string, Run[]>> {
  const servers = POOLS.flatMap((pool) => cluster.serversOf(pool));
  const runs = (await Promise.all(servers.map((server) => server.control.runs()))).flat();
  const byKey = new Map<string, Run[]>();
  runs.forEach((run) => {
    const key = keyOf(run.account, run.idempotencyKey ?? '');
    byKey.set(key, [...(byKey.get(key) ?? []), run]);
  });
  return byKey;
}

function keyOf(account: string, key: string): string {
  return `${account}/${key}`;
}

function judge(record: KeyRecord, last: CallerAnswer, runs: readonly Run[]): string[] {
  const name = `${record.account.id}/${record.key}`;
  const outputs = record.answers.flatMap((answer) =>
    answer.kind === 'result' ? [canonicalJson(answer.result.output)] : [],
  );
  const violations: string[] = [];
  if (runs.length > 1) violations.push(`${name}: took effect ${runs.length} times`);
  if (outputs.length > 0 && runs.length === 0) violations.push(`${name}: result without effect`);
  if (new Set(outputs).size > 1) violations.push(`${name}: replays gave different results`);
  if (!isFinal(last)) violations.push(`${name}: stuck, last answer ${describe(last)}`);
  return violations;
}

function describe(answer: CallerAnswer): string {
  if (answer.kind === 'result') return 'result';
  if (answer.kind === 'broken') return `broken (${answer.message})`;
  const { kind, outcome, message } = answer.error;
  return `${kind}, outcome ${outcome} (${message})`;
}
