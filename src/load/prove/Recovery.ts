/** Restores a cluster after the faults of a proof. */
import type { Cluster } from '../launch/Cluster.js';
import { waitUntilReady } from '../launch/Readiness.js';

/**
 * Clears all faults, resumes frozen processes, replaces ended ones, and waits until all are ready.
 * @param cluster - cluster to restore
 * @throws Error if a process does not become ready
 */
export async function restoreCluster(cluster: Cluster): Promise<void> {
  const standins = [cluster.table, cluster.objects, cluster.membership];
  await Promise.all(standins.map((standin) => standin.clearFaults()));
  await Promise.all(cluster.servers.map((server) => server.control.clearFaults()));
  const members = [...cluster.entries, ...cluster.agents];
  members.forEach((member) => {
    member.process.signal('SIGCONT');
    member.process.startWithoutWaiting();
  });
  const checked = cluster.isNaive ? [] : members;
  await Promise.all(checked.map((member) => waitUntilReady(member.address)));
}
