/** Manages the lifetime of the cluster of a proof. */
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { Cluster } from '../launch/Cluster.js';
import type { ClusterOptions } from '../launch/Types.js';
import type { ProofContext, ProofOutcome } from './Types.js';

/**
 * Starts a cluster, runs a proof on it and stops the cluster, also after an error.
 * @param context - context of the proof
 * @param options - overrides of the defaults: small deployment, with relays
 * @param run - runs the proof on the started cluster
 * @returns findings of the proof
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
