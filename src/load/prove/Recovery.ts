/** Brings a cluster back to full health after the faults of a proof. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { Cluster } from '../launch/Cluster.js';

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;

/**
 * Takes back all faults, resumes and replaces processes, waits for readiness of all of them.
 * @param cluster - cluster to heal
 * @throws Error if a process does not become ready
 */
export async function heal(cluster: Cluster): Promise<void> {
  const standins = [cluster.table, cluster.objects, cluster.membership];
  await Promise.all(standins.map((standin) => standin.clearFaults()));
  await Promise.all(cluster.servers.map((server) => server.control.clearFaults()));
  const members = [...cluster.entries, ...cluster.agents];
  members.forEach((member) => {
    member.process.signal('SIGCONT');
    member.process.startUnready();
  });
  const watched = cluster.naive ? [] : members;
  await Promise.all(watched.map((member) => waitUntilReady(member.address)));
}

/**
 * Polls `GET /readyz` until it is answered with status 200.
 * @param address - `ip:port` of an entry or agent
 * @throws Error if the process does not become ready in time
 */
export async function waitUntilReady(address: string): Promise<void> {
  const giveUpAt = Date.now() + READY_TIMEOUT_MS;
  while (!(await isReady(address))) {
    if (Date.now() > giveUpAt) throw new Error(`${address} did not become ready`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * @param address - `ip:port` of an entry or agent
 * @returns whether the process calls itself ready
 */
export async function isReady(address: string): Promise<boolean> {
  try {
    const response = await request(`http://${address}/readyz`, {
      signal: AbortSignal.timeout(500),
    });
    await response.body.dump();
    return response.statusCode === 200;
  } catch {
    return false;
  }
}
