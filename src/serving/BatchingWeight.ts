import type { ServingSettings } from './ServingSettings.js';

/** Bandwidth from which on the traffic of batching is negligible, in Mbit/s. */
const SUFFICIENT_LINK_MBPS = 200;

/**
 * @param instance - capacity of the process
 * @returns weight in the choice of batching processes: small instances on slow links come last
 */
export function batchingWeight({
  coreShare,
  cores,
  linkMbps,
}: Pick<ServingSettings['instance'], 'coreShare' | 'cores' | 'linkMbps'>): number {
  return coreShare * cores * Math.min(1, linkMbps / SUFFICIENT_LINK_MBPS);
}
