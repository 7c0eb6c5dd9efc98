/**
 * Proof that a flood and invalid input of one account change neither the answers nor the attainment
 * of the other accounts.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { findAnswerError } from '../client/AnswerCheck.js';
import type { AccountDescription } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import { MixedLoad, nameOf, type RequestRecord } from './MixedLoad.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const QUIET_PER_SECOND = 5;

/** Several times the capacity of the engines. */
const FLOOD_PER_SECOND = 60;

const INVALID_PER_SECOND = 40;

/** Fraction of the run without the flood, whose attainment is the reference. */
const REFERENCE_FRACTION = 0.3;

/**
 * Tolerance for random variation: with about 40 requests, a single request changes attainment by
 * 0.025.
 */
const MAX_ATTAINMENT_LOSS = 0.05;

/** Bodies that every entry must refuse without affecting other requests. */
const INVALID_BODIES: readonly string[] = [
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
  description: "one account's flood and invalid input do not change the answers to the others",
  run: (context) => withCluster(context, { relays: false }, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const accounts = [...cluster.options.deployment.accounts];
  const noisy = accounts.pop()!;
  const reference = quietLoad(context, cluster, accounts, 'calm');
  await reference.run(context.seconds * REFERENCE_FRACTION);
  const floodSeconds = context.seconds * (1 - REFERENCE_FRACTION);
  const quiet = quietLoad(context, cluster, accounts, 'quiet');
  const flood = new MixedLoad(
    cluster,
    { perSecond: FLOOD_PER_SECOND, accounts: [noisy], prefix: 'flood' },
    context.random,
  );
  const [, , invalid] = await Promise.all([
    quiet.run(floodSeconds),
    flood.run(floodSeconds),
    sendInvalidBodies(cluster, noisy, floodSeconds),
  ]);
  const referenceAttainment = attainment(reference.records);
  const attainmentInFlood = attainment(quiet.records);
  const violations = [...wrongAnswers([...reference.records, ...quiet.records])];
  if (attainmentInFlood < referenceAttainment - MAX_ATTAINMENT_LOSS) {
    violations.push(
      `attainment of the others fell from ${referenceAttainment} to ${attainmentInFlood}`,
    );
  }
  if (invalid.unrefused > 0)
    violations.push(`${invalid.unrefused} invalid requests were not refused`);
  return {
    requests: reference.records.length + quiet.records.length,
    faults: { flood: flood.records.length, 'bad-input': invalid.sent },
    violations,
    figures: {
      calmAttainment: referenceAttainment,
      attainmentInFlood,
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

/**
 * Sends invalid bodies at a fixed rate. A request counts as refused if it gets an error status or
 * if the call itself fails.
 * @returns number of requests sent and number of requests that were not refused
 */
async function sendInvalidBodies(
  cluster: Cluster,
  account: AccountDescription,
  seconds: number,
): Promise<{ sent: number; unrefused: number }> {
  const endAt = Date.now() + seconds * 1000;
  const pending: Promise<boolean>[] = [];
  while (Date.now() < endAt) {
    const entry = cluster.entries[pending.length % cluster.entries.length]!;
    const body = INVALID_BODIES[pending.length % INVALID_BODIES.length]!;
    pending.push(
      isRefused(`http://${entry.address}/v1/pipelines/stitch-plan/requests`, account, body),
    );
    await sleep(1000 / INVALID_PER_SECOND);
  }
  const refused = await Promise.all(pending);
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
    // An entry may close the connection while an oversized body is still being sent.
    return true;
  }
}

function attainment(records: readonly RequestRecord[]): number {
  const attained = records.filter(
    ({ answer, traffic }) => answer.kind === 'result' && answer.latencyMs <= traffic.deadlineMs,
  );
  return Math.round((attained.length / Math.max(1, records.length)) * 1e3) / 1e3;
}

function wrongAnswers(records: readonly RequestRecord[]): string[] {
  return records.flatMap((record) => {
    const { traffic, input, answer } = record;
    const fault = findAnswerError(traffic.template, input, answer);
    return fault === undefined ? [] : [`${nameOf(record)}: ${fault}`];
  });
}
