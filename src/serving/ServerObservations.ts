import { CrashingParts } from '../common/serving/CrashingParts.js';
import { ServerRecords } from '../common/serving/ServerRecords.js';
import {
  ServerStatements,
  type ServerStatementsServices,
} from '../common/serving/ServerStatements.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Logger } from '../telemetry/Logger.js';
import type { TrafficObserver } from './ServerConnectionPool.js';
import type { RawHeaders, ServingProtocol } from './Types.js';
import type { Heartbeat } from './peers/PeerMessages.js';

/** Dependencies of {@link ServerObservations}. */
export interface ServerObservationsServices extends ServerStatementsServices {
  readonly logger: Logger;
  readonly protocol: ServingProtocol;
}

/** What this process and its peers have observed about backend servers. */
export class ServerObservations implements TrafficObserver {
  readonly records: ServerRecords;

  readonly statements: ServerStatements;

  readonly crashingParts: CrashingParts;

  private readonly protocol: ServingProtocol;

  constructor({ logger, protocol, ...services }: ServerObservationsServices) {
    const { clock } = services;
    this.protocol = protocol;
    this.records = new ServerRecords(clock);
    this.statements = new ServerStatements(services);
    this.crashingParts = new CrashingParts(clock);
    const { limits, departures } = this.statements;
    limits.onChanged((change) => logger.info('server limit changed', { ...change }));
    departures.onChanged((departure) => logger.info('server leaves', { ...departure }));
    departures.onEnded((server) => logger.info('departure or grace time ended', { server }));
  }

  /** Records that a request is sent to a server. */
  onRequest(server: BackendServer): void {
    this.statements.recordRequest(server);
  }

  /** Records what a server says of itself in a response, of whatever kind of request. */
  onResponse(server: BackendServer, headers: RawHeaders): void {
    const { requestsPerS, isLeaving } = this.protocol.parseResponse(headers);
    this.statements.recordResponse(server, { requestsPerS, isLeaving });
  }

  /** The part of a heartbeat that peers {@link merge}. */
  get heartbeat(): Pick<Heartbeat, 'engines' | 'crashEvidence' | 'serverLimits' | 'departures'> {
    return {
      engines: this.records.engineLoads(),
      crashEvidence: this.crashingParts.evidence,
      serverLimits: this.statements.limits.reports,
      departures: this.statements.departures.reports,
    };
  }

  /** Adds what a peer has observed. */
  merge({ crashEvidence, serverLimits, departures }: Heartbeat): void {
    this.crashingParts.merge(crashEvidence);
    this.statements.limits.merge(serverLimits);
    this.statements.departures.merge(departures);
  }

  /** Discards what belongs to a server that was removed or has restarted. */
  forget(server: BackendServer): void {
    this.records.forget(server.id);
    this.statements.forget(server);
  }
}
