/** Starts the cluster of a proof and always ends it. */
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { Cluster } from '../launch/Cluster.js';
import type { ClusterOptions } from '../launch/Types.js';
import type { ProofContext, ProofOutcome } from './Types.js';

/**
 * @param context - context of the proof
 * @param options - changes to the small deployment with relays
 * @param run - proof on the running cluster
 * @returns what the proof found
 */
export async function withCluster(
  context: ProofContext,
  options: Partial<ClusterOptions>,
  run: (cluster: Cluster) => Promise<ProofOutcome>,
): Promise<ProofOutcome> {
  const cluster = await Cluster.start({
    deployment: DEPLOYMENTS.small!(),
    variant: context.variant,
    relays: true,
    keepFolder: context.keepFolder,
    ...options,
  });
  if (context.keepFolder) context.progress(`settings and logs are in ${cluster.launcher.folder}`);
  try {
    return await run(cluster);
  } finally {
    await cluster.dispose();
  }
}
