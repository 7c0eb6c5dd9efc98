/**
 * Proof that, for engines with two agents, orders of an agent that has lost its lease have no
 * lasting effect.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { LEASE_TABLE, Lease } from '../../agent/orders/Lease.js';
import { scanTable } from '../client/TableClient.js';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { MODEL } from '../deployment/Templates.js';
import type { Deployment } from '../deployment/Types.js';
import type { Cluster } from '../launch/Cluster.js';
import type { AgentInstance, AgentOverrides, BackendServer } from '../launch/Types.js';
import { waitUntilReady } from '../launch/Readiness.js';
import { OrderMonitor } from './OrderMonitor.js';
import type { Proof, ProofContext, ProofOutcome } from './Types.js';
import { withCluster } from './WithCluster.js';

const LEASE_TTL_MS = 1000;
const ORDER_TIMEOUT_MS = 500;
const RECONCILE_INTERVAL_MS = 300;

/** Time within which an engine that ignores fencing numbers must be corrected by reconciliation. */
const CORRECTION_BOUND_MS = 3000;

/** Long enough for the other agent to take over the lease. */
const FREEZE_MS = LEASE_TTL_MS + ORDER_TIMEOUT_MS + 1500;

const PAUSE_MS = 600;

/** Duration of every order, so that some holders are frozen while an order is in progress. */
const ORDER_DELAY_MS = 100;

/** The first engine enforces fencing numbers, the second ignores them. */
const FENCING_IGNORING_SERVER = 'engines-2';

export const ORDERS: Proof = {
  description: 'orders of an agent that lost its lease have no lasting effect',
  hasNoBaseline: true,
  run: (context) => {
    const deployment = enginesOnly();
    const agentSettingsOf = (server: BackendServer): AgentOverrides => orderSettings(server, '1');
    return withCluster(context, { deployment, relays: false, agentSettingsOf }, (cluster) =>
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

function orderSettings({ id }: BackendServer, version: string): AgentOverrides {
  return {
    orders: {
      fencing: id === FENCING_IGNORING_SERVER ? 'ignored' : 'enforced',
      leaseTtlMs: LEASE_TTL_MS,
      orderTimeoutMs: ORDER_TIMEOUT_MS,
      reconcileIntervalMs: RECONCILE_INTERVAL_MS,
      models: [MODEL],
      version,
    },
  };
}

async function prove(context: ProofContext, cluster: Cluster): Promise<ProofOutcome> {
  const monitors = cluster.servers.map((server) => new OrderMonitor(server));
  const secondAgents: AgentInstance[] = [];
  for (const server of cluster.servers) {
    const agent = await cluster.defineAgent(
      `second-${server.id}`,
      server,
      orderSettings(server, '2'),
    );
    await agent.process.start();
    await waitUntilReady(agent.address);
    secondAgents.push(agent);
    const isIgnoring = server.id === FENCING_IGNORING_SERVER;
    await server.control.setFaults({ ignoreFencing: isIgnoring, delayMs: ORDER_DELAY_MS });
  }
  monitors.forEach((watch) => watch.start());
  const agents = [...cluster.agents, ...secondAgents];
  const endAt = Date.now() + context.seconds * 1000;
  let frozen = 0;
  let lateOrders = 0;
  while (Date.now() < endAt) {
    await sleep(PAUSE_MS * (0.5 + context.random.next()));
    const holders = await leaseHolders(cluster);
    const holderAgents = agents.filter(({ id }) => holders.includes(id));
    holderAgents.forEach((agent) => agent.process.signal('SIGSTOP'));
    await sleep(FREEZE_MS);
    holderAgents.forEach((agent) => agent.process.signal('SIGCONT'));
    frozen += holderAgents.length;
    const sent = monitors.map((watch) => watch.sendLateOrder());
    lateOrders += (await Promise.all(sent)).filter((isSent) => isSent).length;
  }
  await sleep(CORRECTION_BOUND_MS);
  await Promise.all(monitors.map((watch) => watch.stop()));
  return report(monitors, { 'freeze-holder': frozen, 'late-order': lateOrders });
}

async function leaseHolders(cluster: Cluster): Promise<string[]> {
  const rows = await scanTable(cluster.table.address, LEASE_TABLE, '');
  return rows.map((row) => Lease.parse(row.value).agentId);
}

async function report(
  monitors: readonly OrderMonitor[],
  faults: Readonly<Record<string, number>>,
): Promise<ProofOutcome> {
  const violations = monitors.flatMap(({ server, reverts, longestStaleMs, highestFencing }) => {
    const violationsOfEngine: string[] = [];
    if (highestFencing < 2) violationsOfEngine.push(`${server.id}: no agent took over the lease`);
    if (server.id !== FENCING_IGNORING_SERVER && reverts > 0) {
      violationsOfEngine.push(`${server.id}: an old order was applied ${reverts} times`);
    }
    if (longestStaleMs > CORRECTION_BOUND_MS) {
      violationsOfEngine.push(`${server.id}: an old order was in force for ${longestStaleMs} ms`);
    }
    return violationsOfEngine;
  });
  const counters = await Promise.all(monitors.map(({ server }) => server.control.counters()));
  const total = (name: string): number =>
    counters.reduce((sum, counts) => sum + Number(counts[name] ?? 0), 0);
  return {
    requests: total('ordersApplied') + total('ordersRejected'),
    faults: {
      ...faults,
      'take-over': monitors.reduce((sum, watch) => sum + Math.max(0, watch.highestFencing - 1), 0),
    },
    violations,
    figures: {
      ordersRejected: total('ordersRejected'),
      oldOrdersApplied: total('oldOrdersApplied'),
      longestOldMs: Math.max(...monitors.map((watch) => watch.longestStaleMs)),
    },
  };
}
