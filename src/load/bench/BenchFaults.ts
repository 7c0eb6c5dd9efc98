/** Fault scenarios of the bench by name. Each runs beside the load and gives the same faults to both policies. */
import { setTimeout as sleep } from 'node:timers/promises';
import { setDraining } from '../client/OperatorClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { BackendServer } from '../launch/Types.js';

const STRAGGLER_FACTOR = 8;
const REPLACEMENT_DELAY_MS = 1000;

/** Time between a drain and the end of the server, in milliseconds. */
const DRAIN_NOTICE_MS = 5000;

/** A scenario; `lengthMs` is the length of the load. */
export type BenchFault = (cluster: Cluster, lengthMs: number) => Promise<void>;

/** First server of every pool with at least two. */
function firstServers(cluster: Cluster): BackendServer[] {
  return cluster.servers.filter(({ id, pool }) => pool.servers > 1 && id.endsWith('-1'));
}

async function straggler(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.25);
  const slow = firstServers(cluster);
  await Promise.all(
    slow.map((server) => server.control.setFaults({ slowFactor: STRAGGLER_FACTOR })),
  );
  await sleep(lengthMs * 0.5);
  await Promise.all(slow.map((server) => server.control.clearFaults()));
}

/** An entry and a server of every pool die; agents die with their servers. All are replaced. */
async function kill(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  const dead = firstServers(cluster);
  const agents = cluster.agents.filter((agent) => dead.includes(agent.server));
  const processes = [cluster.entries[0]!, ...agents].map((member) => member.process);
  await Promise.all([
    ...processes.map((child) => child.kill()),
    ...dead.map((server) => server.control.setFaults({ lostRequestShare: 1 })),
  ]);
  await sleep(REPLACEMENT_DELAY_MS);
  processes.forEach((child) => child.startUnready());
  await sleep(REPLACEMENT_DELAY_MS);
  await Promise.all(dead.map((server) => server.control.clearFaults()));
}

async function storeOutage(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  await cluster.table.setFaults({ outage: true });
  await sleep(lengthMs * 0.3);
  await cluster.table.clearFaults();
}

/** All open connections between entries and agents (or servers) fall silent, several times. */
async function silent(cluster: Cluster, lengthMs: number): Promise<void> {
  const turns = 5;
  for (let turn = 0; turn < turns; turn += 1) {
    await sleep(lengthMs / (turns + 1));
    cluster.dataRelays.forEach((relay) => relay.silence());
  }
}

/** One server of every pool is drained and ends a few seconds later, with or without a drain. */
async function drain(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  const leaving = firstServers(cluster);
  const operator = cluster.entries[1] ?? cluster.entries[0]!;
  if (!cluster.naive) {
    await Promise.all(leaving.map(({ id }) => setDraining(operator.address, id, 'drain')));
  }
  await sleep(Math.min(DRAIN_NOTICE_MS, lengthMs * 0.2));
  await Promise.all(leaving.map((server) => server.control.setFaults({ lostRequestShare: 1 })));
}

async function mixed(cluster: Cluster, lengthMs: number): Promise<void> {
  await Promise.all([
    straggler(cluster, lengthMs),
    kill(cluster, lengthMs),
    storeOutage(cluster, lengthMs),
    silent(cluster, lengthMs),
  ]);
}

/** Scenarios by name. The burst is part of the arrivals. */
export const BENCH_FAULTS: Readonly<Record<string, BenchFault>> = {
  none: () => Promise.resolve(),
  straggler,
  burst: () => Promise.resolve(),
  kill,
  'store-outage': storeOutage,
  silent,
  drain,
  mixed,
};
