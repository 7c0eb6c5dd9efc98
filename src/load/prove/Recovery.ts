/** Brings a cluster back to full health after the faults of a proof. */
import type { Cluster } from '../launch/Cluster.js';
import { waitUntilReady } from '../launch/Readiness.js';

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
