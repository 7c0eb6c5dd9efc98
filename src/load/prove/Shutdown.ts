/** Proof that a graceful shutdown of an entry or an agent interrupts no request. */
import { setTimeout as sleep } from 'node:timers/promises';
import { findAnswerError } from '../client/AnswerCheck.js';
import type { Cluster } from '../launch/Cluster.js';
import type { EntryInstance } from '../launch/Types.js';
import { Balancer } from './Balancer.js';
import { MixedLoad, nameOf } from './MixedLoad.js';
import { waitUntilReady } from '../launch/Readiness.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const REQUESTS_PER_SECOND = 12;
const SHUTDOWN_TIMEOUT_MS = 12_000;
const PAUSE_MS = 700;

/** Several times the interval of the load balancer's health checks. */
const BALANCER_DELAY_MS = 600;

/** Pools with a second server that can take over. */
const POOLS = ['engines', 'retrievers', 'bookings', 'orders'];

export const SHUTDOWN: Proof = {
  description: 'SIGTERM to entries and agents under load interrupts no request',
  run: (context) =>
    withCluster(
      context,
      { relays: false, entry: { shutdown: { balancerDelayMs: BALANCER_DELAY_MS } } },
      (cluster) => prove(context, cluster),
    ),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const balancer = new Balancer(cluster);
  const options = { perSecond: REQUESTS_PER_SECOND, entries: () => balancer.healthy };
  const load = new MixedLoad(cluster, options, context.random);
  const running = load.run(context.seconds);
  const endAt = Date.now() + context.seconds * 1000;
  const faults = { 'terminate-entry': 0, 'terminate-agent': 0 };
  const violations: string[] = [];
  for (let round = 0; Date.now() < endAt; round += 1) {
    await sleep(PAUSE_MS);
    const entry = cluster.entries[round % cluster.entries.length]!;
    violations.push(...(await restart(entry)));
    faults['terminate-entry'] += 1;
    if (cluster.isNaive) continue;
    const agents = cluster.agentsOf(POOLS[round % POOLS.length]!);
    const agent = agents[round % agents.length]!;
    violations.push(...(await restart(agent)));
    faults['terminate-agent'] += 1;
  }
  await running;
  balancer.stop();
  violations.push(...interruptedRequests(load));
  const counts = cluster.isNaive ? { 'terminate-entry': faults['terminate-entry'] } : faults;
  return { requests: load.records.length, faults: counts, violations };
}

/** Terminates a process, waits until it has ended and starts it again; returns violations. */
async function restart(member: Pick<EntryInstance, 'process' | 'address'>): Promise<string[]> {
  const { process, address } = member;
  const isGraceful = await process.terminate(SHUTDOWN_TIMEOUT_MS);
  const code = process.exitCode;
  await process.start();
  if (process.specification.binary !== 'citronstage-load') await waitUntilReady(address);
  if (!isGraceful) return [`${process.name}: did not end within ${SHUTDOWN_TIMEOUT_MS} ms`];
  const isExpected = code === 0 || process.specification.binary === 'citronstage-load';
  return isExpected ? [] : [`${process.name}: ended with exit code ${code}`];
}

function interruptedRequests(load: MixedLoad): string[] {
  return load.records.flatMap((record) => {
    const { answer, traffic, input } = record;
    const fault = findAnswerError(traffic.template, input, answer);
    if (fault !== undefined) return [`${nameOf(record)}: ${fault}`];
    if (answer.kind === 'result') return [];
    const reason = answer.kind === 'error' ? answer.error.message : answer.message;
    return [`${nameOf(record)} through ${record.entry.id}: ${reason}`];
  });
}
