/** One account's flood and bad input change neither the answers nor the attainment of the others. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { findWrongAnswer } from '../client/AnswerCheck.js';
import type { AccountDescription } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import { MixedLoad, nameOf, type MixedRecord } from './MixedLoad.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const QUIET_PER_SECOND = 5;

/** Several times what the engines can generate. */
const FLOOD_PER_SECOND = 60;

const BAD_PER_SECOND = 40;

/** Part of the length that runs without the flood, for comparison. */
const CALM_PART = 0.3;

/** Attainment may differ by chance; with about 40 requests one request is 0.025. */
const ALLOWED_LOSS = 0.05;

/** Bodies that no entry may accept and that must not disturb it. */
const BAD_BODIES: readonly string[] = [
  '{"input": {"question": "cut',
  '[]',
  '{"input": {"question": 7, "details": []}}',
  '{"input": {}}',
  `{"input": {"question": "${'x'.repeat(1_200_000)}"}}`,
  '{"input": {"question": "x"}, "timeoutMs": -1}',
  `${'['.repeat(20_000)}${']'.repeat(20_000)}`,
  '{"input": {"__proto__": {"question": "x"}}}',
];

export const ISOLATION: Proof = {
  description: "one account's flood and bad input do not change what the others get",
  run: (context) => withCluster(context, { relays: false }, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const accounts = [...cluster.options.deployment.accounts];
  const noisy = accounts.pop()!;
  const calm = quietLoad(context, cluster, accounts, 'calm');
  await calm.run(context.seconds * CALM_PART);
  const floodSeconds = context.seconds * (1 - CALM_PART);
  const quiet = quietLoad(context, cluster, accounts, 'quiet');
  const flood = new MixedLoad(
    cluster,
    { perSecond: FLOOD_PER_SECOND, accounts: [noisy], prefix: 'flood' },
    context.random,
  );
  const [, , bad] = await Promise.all([
    quiet.run(floodSeconds),
    flood.run(floodSeconds),
    sendBadInput(cluster, noisy, floodSeconds),
  ]);
  const calmShare = attainment(calm.records);
  const quietShare = attainment(quiet.records);
  const violations = [...wrongAnswers([...calm.records, ...quiet.records])];
  if (quietShare < calmShare - ALLOWED_LOSS) {
    violations.push(`attainment of the others fell from ${calmShare} to ${quietShare}`);
  }
  if (bad.unrefused > 0) violations.push(`${bad.unrefused} bad requests were not refused`);
  return {
    requests: calm.records.length + quiet.records.length,
    faults: { flood: flood.records.length, 'bad-input': bad.sent },
    violations,
    figures: {
      calmAttainment: calmShare,
      attainmentInFlood: quietShare,
      floodAttainment: attainment(flood.records),
    },
  };
}

function quietLoad(
  context: ProofContext,
  cluster: Cluster,
  accounts: readonly AccountDescription[],
  prefix: string,
): MixedLoad {
  return new MixedLoad(cluster, { perSecond: QUIET_PER_SECOND, accounts, prefix }, context.random);
}

/** A bad request must be answered with a client error and must not end the connection unanswered. */
async function sendBadInput(
  cluster: Cluster,
  account: AccountDescription,
  seconds: number,
): Promise<{ sent: number; unrefused: number }> {
  const endAt = Date.now() + seconds * 1000;
  const open: Promise<boolean>[] = [];
  while (Date.now() < endAt) {
    const entry = cluster.entries[open.length % cluster.entries.length]!;
    const body = BAD_BODIES[open.length % BAD_BODIES.length]!;
    open.push(
      isRefused(`http://${entry.address}/v1/pipelines/stitch-plan/requests`, account, body),
    );
    await sleep(1000 / BAD_PER_SECOND);
  }
  const refused = await Promise.all(open);
  return { sent: refused.length, unrefused: refused.filter((item) => !item).length };
}

async function isRefused(url: string, account: AccountDescription, body: string): Promise<boolean> {
  try {
    const response = await request(url, {
      method: 'POST',
      headers: { authorization: `Bearer ${account.token}`, 'content-type': 'application/json' },
      body,
      signal: AbortSignal.timeout(5000),
    });
    await response.body.dump();
    return response.statusCode >= 400;
  } catch {
    // An entry may close the connection while a body that is too large is still being sent.
    return true;
  }
}

function attainment(records: readonly MixedRecord[]): number {
  const attained = records.filter(
    ({ answer, traffic }) => answer.kind === 'result' && answer.latencyMs <= traffic.deadlineMs,
  );
  return Math.round((attained.length / Math.max(1, records.length)) * 1e3) / 1e3;
}

function wrongAnswers(records: readonly MixedRecord[]): string[] {
  return records.flatMap((record) => {
    const { traffic, input, answer } = record;
    const fault = findWrongAnswer(traffic.template, input, answer);
    return fault === undefined ? [] : [`${nameOf(record)}: ${fault}`];
  });
}
