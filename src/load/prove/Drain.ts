/**
 * Proof that a drained backend server gets no new work after 3 s, even while the store is down and
 * the membership list lags.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { setDraining } from '../client/OperatorClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { BackendServer } from '../launch/Types.js';
import { MixedLoad, nameOf } from './MixedLoad.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

/** Time after a drain within which new work must stop, in milliseconds. */
const DRAIN_BOUND_MS = 3000;

const MEMBERSHIP_LAG_MS = 30_000;

/**
 * Low enough for a single engine, so that a failed request is caused by the drain, not by overload.
 */
const REQUESTS_PER_SECOND = 5;

const WARM_UP_MS = 3000;

/** Idempotent templates; others cannot be served while the store is down. */
const TEMPLATES = ['stitch-plan', 'floor-question', 'order-status'];
const POOLS = ['engines', 'retrievers', 'orders'];

export const DRAIN: Proof = {
  description: 'a drained server gets no new work after 3 s; no request fails because of it',
  run: (context) => withCluster(context, {}, (cluster) => prove(context, cluster)),
};

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const options = { perSecond: REQUESTS_PER_SECOND, templates: TEMPLATES };
  const load = new MixedLoad(cluster, options, context.random);
  const running = load.run(context.seconds);
  await sleep(WARM_UP_MS);
  await cluster.membership.setFaults({ lagMs: MEMBERSHIP_LAG_MS });
  await cluster.table.setFaults({ outage: true });
  const drained: { server: BackendServer; at: number; status: number }[] = [];
  for (const pool of POOLS) {
    const server = await busiestServer(cluster, pool);
    const entry = cluster.entries[drained.length % cluster.entries.length]!;
    const at = Date.now();
    const answer = cluster.isNaive
      ? { status: 200 }
      : await setDraining(entry.address, server.id, 'drain');
    drained.push({ server, at, status: answer.status });
  }
  await cluster.membership.setInstances(
    withLeavingAgents(
      cluster,
      drained.map(({ server }) => server),
    ),
  );
  await running;
  const violations = [...(await checkDrainedServers(drained)), ...failedRequests(load)];
  const outages = await cluster.table.faultCount();
  return {
    requests: load.records.length,
    faults: {
      drain: drained.length,
      'table-outage': cluster.isNaive ? 1 : outages,
      'membership-lag': 1,
    },
    violations,
  };
}

async function busiestServer(cluster: Cluster, pool: string): Promise<BackendServer> {
  const runCounts = cluster.serversOf(pool).map(async (server) => {
    const { length } = await server.control.runs();
    return { server, length };
  });
  const servers = await Promise.all(runCounts);
  return servers.sort((left, right) => right.length - left.length)[0]!.server;
}

function withLeavingAgents(
  cluster: Cluster,
  servers: readonly BackendServer[],
): ReturnType<Cluster['instances']> {
  const ids = new Set(servers.map((server) => `agent-${server.id}`));
  return cluster
    .instances()
    .map((instance) => (ids.has(instance.id) ? { ...instance, state: 'leaving' } : instance));
}

async function checkDrainedServers(
  drained: readonly { server: BackendServer; at: number; status: number }[],
): Promise<string[]> {
  const violationsByServer = drained.map(async ({ server, at, status }) => {
    const runs = await server.control.runs();
    const lateRuns = runs.filter((run) => run.startedAt > at + DRAIN_BOUND_MS);
    const runsBeforeDrain = runs.filter((run) => run.startedAt <= at).length;
    const violations: string[] = [];
    if (lateRuns.length > 0)
      violations.push(`${server.id}: ${lateRuns.length} runs began after 3 s`);
    if (status !== 200) violations.push(`${server.id}: the drain was answered with ${status}`);
    if (runsBeforeDrain === 0) violations.push(`${server.id}: had no work before the drain`);
    return violations;
  });
  return (await Promise.all(violationsByServer)).flat();
}

function failedRequests(load: MixedLoad): string[] {
  return load.records.flatMap((record) => {
    const { answer } = record;
    if (answer.kind === 'result') return [];
    const reason = answer.kind === 'error' ? answer.error.message : answer.message;
    return [`${nameOf(record)}: ${reason}`];
  });
}
