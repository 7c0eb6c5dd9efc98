/**
 * Fault scenarios of the bench by name. A scenario runs concurrently with the load and injects the
 * same faults for both policies.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { setDraining } from '../client/OperatorClient.js';
import type { Cluster } from '../launch/Cluster.js';
import type { BackendServer } from '../launch/Types.js';

const STRAGGLER_FACTOR = 8;
const REPLACEMENT_DELAY_MS = 1000;

/** Time between the drain order and the end of the server, in milliseconds. */
const DRAIN_NOTICE_MS = 5000;

/** A fault scenario; `lengthMs` is the length of the load in milliseconds. */
export type BenchFault = (cluster: Cluster, lengthMs: number) => Promise<void>;

/** Returns the first server of every pool that has at least two servers. */
function firstServers(cluster: Cluster): BackendServer[] {
  return cluster.servers.filter(({ id, pool }) => pool.servers > 1 && id.endsWith('-1'));
}

async function straggler(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.25);
  const slowed = firstServers(cluster);
  await Promise.all(
    slowed.map((server) => server.control.setFaults({ slowFactor: STRAGGLER_FACTOR })),
  );
  await sleep(lengthMs * 0.5);
  await Promise.all(slowed.map((server) => server.control.clearFaults()));
}

/**
 * Kills one entry and, in every pool with at least two servers, one server with its agent. All are
 * replaced after a delay.
 */
async function kill(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  const killed = firstServers(cluster);
  const agents = cluster.agents.filter((agent) => killed.includes(agent.server));
  const processes = [cluster.entries[0]!, ...agents].map((member) => member.process);
  await Promise.all([
    ...processes.map((child) => child.kill()),
    ...killed.map((server) => server.control.setFaults({ lostRequestShare: 1 })),
  ]);
  await sleep(REPLACEMENT_DELAY_MS);
  processes.forEach((child) => child.startWithoutWaiting());
  await sleep(REPLACEMENT_DELAY_MS);
  await Promise.all(killed.map((server) => server.control.clearFaults()));
}

async function storeOutage(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  await cluster.table.setFaults({ outage: true });
  await sleep(lengthMs * 0.3);
  await cluster.table.clearFaults();
}

/**
 * Repeatedly makes all open connections between entries and agents (for the baseline: servers) go
 * silent without closing them.
 */
async function silent(cluster: Cluster, lengthMs: number): Promise<void> {
  const rounds = 5;
  for (let round = 0; round < rounds; round += 1) {
    await sleep(lengthMs / (rounds + 1));
    cluster.dataRelays.forEach((relay) => relay.silence());
  }
}

/**
 * Drains one server of every pool with at least two and stops it a few seconds later. The baseline
 * has no drain; its servers stop without notice.
 */
async function drain(cluster: Cluster, lengthMs: number): Promise<void> {
  await sleep(lengthMs * 0.3);
  const leaving = firstServers(cluster);
  const operatorEntry = cluster.entries[1] ?? cluster.entries[0]!;
  if (!cluster.isNaive) {
    await Promise.all(leaving.map(({ id }) => setDraining(operatorEntry.address, id, 'drain')));
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

/** Scenarios by name. `burst` has no action here, because it only changes the arrivals. */
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
