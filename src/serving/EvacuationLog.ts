import type { EvacuationView } from '../common/serving/EvacuationView.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { Logger } from '../telemetry/Logger.js';

/**
 * Logs the beginning and end of evacuations, and rows that have no effect.
 * @param evacuations - evacuated failure domains
 * @param directory - registered servers
 * @param logger - destination
 */
export function logEvacuations(
  evacuations: EvacuationView,
  directory: ServerDirectory,
  logger: Logger,
): void {
  /** Evacuated domains, at most those in force, of which it is not known whether they have servers. */
  const unchecked = new Set<string>();
  const check = () => {
    if (directory.size === 0) return;
    [...unchecked]
      .filter((domain) => directory.inDomain(domain).length === 0)
      .forEach((domain) => logger.warn('evacuated failure domain has no servers', { domain }));
    unchecked.clear();
  };
  evacuations.onEvacuated(({ domain, source }) => {
    logger.warn('failure domain evacuated', { domain, source });
    unchecked.add(domain);
  });
  evacuations.onLifted(({ domain, source }) => {
    logger.info('evacuation of failure domain ended', { domain, source });
    unchecked.delete(domain);
  });
  evacuations.onIgnored((ignored) => logger.warn('evacuation ignored', { ...ignored }));
  evacuations.onChanged(check);
  // At the start, all registrations are applied in one turn of the event loop.
  directory.onChanged(() => {
    if (unchecked.size > 0) queueMicrotask(check);
  });
}
