/** Orders to an engine with two agents: those of an agent that lost its lease have no lasting effect. */
import { setTimeout as sleep } from 'node:timers/promises';
import { LEASE_TABLE, Lease } from '../../agent/orders/Lease.js';
import { scanTable } from '../client/TableReader.js';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { MODEL } from '../deployment/Templates.js';
import type { Deployment } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import type { AgentInstance, AgentOverrides, BackendServer } from '../launch/Types.js';
import { waitUntilReady } from '../launch/Readiness.js';
import { OrderWatch } from './OrderWatch.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const LEASE_TTL_MS = 1000;
const ORDER_TIMEOUT_MS = 500;
const RECONCILE_INTERVAL_MS = 300;

/** An engine that ignores fencing numbers may obey an old order until the next comparison. */
const CORRECTION_BOUND_MS = 3000;

/** Long enough for the other agent to take the lease over. */
const FREEZE_MS = LEASE_TTL_MS + ORDER_TIMEOUT_MS + 1500;

const PAUSE_MS = 600;

/** Makes every order take a while, so that holders are also frozen during one. */
const ORDER_DELAY_MS = 100;

/** The first engine enforces fencing numbers, the second ignores them. */
const IGNORING_SERVER = 'engines-2';

export const ORDERS: Proof = {
  description: 'orders of an agent that lost its lease have no lasting effect',
  hasNoBaseline: true,
  run: (context) => {
    const deployment = enginesOnly();
    const agentOf = (server: BackendServer): AgentOverrides => orders(server, '1');
    return withCluster(context, { deployment, relays: false, agentOf }, (cluster) =>
      prove(context, cluster),
    );
  },
};

function enginesOnly(): Deployment {
  const deployment = DEPLOYMENTS.small!();
  return {
    ...deployment,
    entries: 1,
    pools: deployment.pools.filter((pool) => pool.kind === 'engine'),
    traffic: deployment.traffic.filter(({ template }) => template.name === 'floor-question'),
  };
}

function orders({ id }: BackendServer, version: string): AgentOverrides {
  return {
    orders: {
      fencing: id === IGNORING_SERVER ? 'ignored' : 'enforced',
      leaseTtlMs: LEASE_TTL_MS,
      orderTimeoutMs: ORDER_TIMEOUT_MS,
      reconcileIntervalMs: RECONCILE_INTERVAL_MS,
      models: [MODEL],
      version,
    },
  };
}

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const watches = cluster.servers.map((server) => new OrderWatch(server));
  const seconds: AgentInstance[] = [];
  for (const server of cluster.servers) {
    const agent = await cluster.defineAgent(`second-${server.id}`, server, orders(server, '2'));
    await agent.process.start();
    await waitUntilReady(agent.address);
    seconds.push(agent);
    const isIgnoring = server.id === IGNORING_SERVER;
    await server.control.setFaults({ ignoreFencing: isIgnoring, delayMs: ORDER_DELAY_MS });
  }
  watches.forEach((watch) => watch.start());
  const agents = [...cluster.agents, ...seconds];
  const endAt = Date.now() + context.seconds * 1000;
  let frozen = 0;
  let lateOrders = 0;
  while (Date.now() < endAt) {
    await sleep(PAUSE_MS * (0.5 + context.random.next()));
    const holders = await leaseHolders(cluster);
    const held = agents.filter(({ id }) => holders.includes(id));
    held.forEach((agent) => agent.process.signal('SIGSTOP'));
    await sleep(FREEZE_MS);
    held.forEach((agent) => agent.process.signal('SIGCONT'));
    frozen += held.length;
    const late = watches.map((watch) => watch.sendLateOrder());
    lateOrders += (await Promise.all(late)).filter((isSent) => isSent).length;
  }
  await sleep(CORRECTION_BOUND_MS);
  await Promise.all(watches.map((watch) => watch.stop()));
  return report(watches, { 'freeze-holder': frozen, 'late-order': lateOrders });
}

async function leaseHolders(cluster: Cluster): Promise<string[]> {
  const rows = await scanTable(cluster.table.address, LEASE_TABLE, '');
  return rows.map((row) => Lease.parse(row.value).agentId);
}

async function report(
  watches: readonly OrderWatch[],
  faults: Readonly<Record<string, number>>,
): Promise<ProofOutcome> {
  const violations = watches.flatMap(({ server, reverts, longestOldMs, highest }) => {
    const found: string[] = [];
    if (highest < 2) found.push(`${server.id}: no agent took the lease over`);
    if (server.id !== IGNORING_SERVER && reverts > 0) {
      found.push(`${server.id}: an old order was applied ${reverts} times`);
    }
    if (longestOldMs > CORRECTION_BOUND_MS) {
      found.push(`${server.id}: an old order was in force for ${longestOldMs} ms`);
    }
    return found;
  });
  const counters = await Promise.all(watches.map(({ server }) => server.control.counters()));
  const total = (name: string): number =>
    counters.reduce((sum, counts) => sum + Number(counts[name] ?? 0), 0);
  return {
    requests: total('ordersApplied') + total('ordersRejected'),
    faults: {
      ...faults,
      'take-over': watches.reduce((sum, watch) => sum + Math.max(0, watch.highest - 1), 0),
    },
    violations,
    figures: {
      ordersRejected: total('ordersRejected'),
      oldOrdersApplied: total('oldOrdersApplied'),
      longestOldMs: Math.max(...watches.map((watch) => watch.longestOldMs)),
    },
  };
}
