/**
 * Proof that a non-idempotent request runs at most once and that every key gets a final answer
 * after the faults have ended.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { canonicalJson } from '../../common/Digest.js';
import type { RunRecord } from '../../standin/Faults.js';
import type { CallerAnswer } from '../client/CallerClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { FaultName } from './FaultActions.js';
import { FaultInjector } from './FaultInjector.js';
import { KeyedCalls, type KeyRecord } from './KeyedCalls.js';
import { restoreCluster } from './Recovery.js';
import { withCluster } from './WithCluster.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';

const POOLS = ['bookings', 'orders'];
const TEMPLATES = ['deposit', 'job-claim'];
const KEYS_PER_SECOND = 8;
const FAULT_INTERVAL_MS = 450;
const RETRY_PAUSE_MS = 200;

/**
 * Wait for ejections and pending row writes to end after all faults are cleared, in milliseconds.
 */
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

/** Faults for the baseline, which has no agents; its backend servers lose answers instead. */
const BASELINE_FAULTS: readonly FaultName[] = [
  'kill-entry',
  'freeze-entry',
  'silent-connections',
  'server-lost-answers',
  'table-outage',
];

export const AT_MOST_ONCE: Proof = {
  description: 'deposits and job claims run at most once, replays return the first result',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const calls = new KeyedCalls(cluster, TEMPLATES, context.random);
  const faults = cluster.isNaive ? BASELINE_FAULTS : FAULTS;
  const plan = { faults, pools: POOLS, intervalMs: FAULT_INTERVAL_MS };
  const injector = new FaultInjector(cluster, plan, context.random);
  await injector.injectDuring(() => calls.run(context.seconds, KEYS_PER_SECOND));
  context.progress(`${calls.records.length} keys sent; replaying all keys without faults`);
  await restoreCluster(cluster);
  await sleep(SETTLE_MS);
  const finalAnswers = await Promise.all(
    calls.records.map((record) => replayUntilFinal(calls, record)),
  );
  const runs = await runsByKey(cluster);
  const violations = calls.records.flatMap((record, position) =>
    findViolations(
      record,
      finalAnswers[position]!,
      runs.get(keyOf(record.account.id, record.key)) ?? [],
    ),
  );
  const answers = calls.records.flatMap((record) => record.answers);
  const figures = {
    keys: calls.records.length,
    unknownAtEnd: finalAnswers.filter(isUnknown).length,
  };
  return { requests: answers.length, faults: injector.counts, violations, figures };
}

/**
 * Sends a key until the answer is a result or an unknown outcome, or until its deadline has passed.
 */
async function replayUntilFinal(calls: KeyedCalls, record: KeyRecord): Promise<CallerAnswer> {
  const deadline = Date.now() + record.traffic.deadlineMs;
  let answer = await calls.send(record);
  while (!isFinal(answer) && Date.now() < deadline) {
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

async function runsByKey(cluster: Cluster): Promise<Map<string, RunRecord[]>> {
  const servers = POOLS.flatMap((pool) => cluster.serversOf(pool));
  const runs = (await Promise.all(servers.map((server) => server.control.runs()))).flat();
  const byKey = new Map<string, RunRecord[]>();
  runs.forEach((run) => {
    const key = keyOf(run.account, run.idempotencyKey ?? '');
    byKey.set(key, [...(byKey.get(key) ?? []), run]);
  });
  return byKey;
}

function keyOf(account: string, key: string): string {
  return `${account}/${key}`;
}

function findViolations(
  record: KeyRecord,
  finalAnswer: CallerAnswer,
  runs: readonly RunRecord[],
): string[] {
  const name = `${record.account.id}/${record.key}`;
  const outputs = record.answers.flatMap((answer) =>
    answer.kind === 'result' ? [canonicalJson(answer.result.output)] : [],
  );
  const violations: string[] = [];
  if (runs.length > 1) violations.push(`${name}: took effect ${runs.length} times`);
  if (outputs.length > 0 && runs.length === 0) violations.push(`${name}: result without effect`);
  if (new Set(outputs).size > 1) violations.push(`${name}: replays gave different results`);
  if (!isFinal(finalAnswer))
    violations.push(`${name}: stuck, last answer ${describe(finalAnswer)}`);
  return violations;
}

function describe(answer: CallerAnswer): string {
  if (answer.kind === 'result') return 'result';
  if (answer.kind === 'broken') return `broken (${answer.message})`;
  const { kind, outcome, message } = answer.error;
  return `${kind}, outcome ${outcome} (${message})`;
}
