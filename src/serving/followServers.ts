import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { Logger } from '../telemetry/Logger.js';
import type { BackendConnections } from './BackendConnections.js';
import { logEvacuations } from './EvacuationLog.js';
import type { ServerObservations } from './ServerObservations.js';

/**
 * Keeps what is known of servers in step with their registrations and with evacuations.
 * @param directory - registered servers
 * @param observations - what is known of them besides
 * @param connections - connections to them
 * @param logger - destination of the log lines
 */
export function followServers(
  directory: ServerDirectory,
  observations: ServerObservations,
  connections: BackendConnections,
  logger: Logger,
): void {
  const { statements, evacuations } = observations;
  directory.onRemoved((server) => {
    logger.info('backend server gone', { server: server.id, service: server.service });
    connections.disconnect(server);
    observations.forget(server);
  });
  directory.onChanged((server) => {
    const { id, service, isDraining, address, version } = server;
    statements.recordRegistration(server);
    logger.info('backend server registered', {
      server: id,
      service,
      version,
      isDraining,
      address,
    });
  });
  logEvacuations(evacuations, directory, logger);
  // The servers of a domain that returns look idle to all processes at once.
  evacuations.onLifted(({ domain }) =>
    directory.inDomain(domain).forEach((server) => statements.rampUp(server)),
  );
}
