import { CrashingParts } from '../common/serving/CrashingParts.js';
import { ServerLimits } from '../common/serving/ServerLimits.js';
import { ServerDepartures, type DepartureBounds } from '../common/serving/ServerDepartures.js';
import { ServerRecords } from '../common/serving/ServerRecords.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Heartbeat } from './peers/PeerMessages.js';

/** What this process and its peers have observed about backend servers. */
export class ServerObservations {
  readonly records: ServerRecords;

  readonly limits: ServerLimits;

  readonly departures: ServerDepartures;

  readonly crashingParts: CrashingParts;

  /**
   * @param clock - time source
   * @param logger - logs what servers say of themselves
   * @param departureBounds - bounds of the departures
   * @param limitShareOf - returns this process's share of a server's limit, 0 to 1
   */
  constructor(
    clock: Clock,
    logger: Logger,
    departureBounds: DepartureBounds,
    limitShareOf: (server: BackendServer, requestsPerS: number) => number,
  ) {
    this.records = new ServerRecords(clock);
    this.limits = new ServerLimits(clock, limitShareOf);
    this.departures = new ServerDepartures(clock, departureBounds);
    this.crashingParts = new CrashingParts(clock);
    this.limits.onChanged((change) => logger.info('server limit changed', { ...change }));
    this.departures.onChanged((departure) => logger.info('server leaves', { ...departure }));
    this.departures.onEnded((server) => logger.info('departure or grace time ended', { server }));
  }

  /** The part of a heartbeat that peers {@link merge}. */
  get heartbeat(): Pick<Heartbeat, 'engines' | 'crashEvidence' | 'serverLimits' | 'departures'> {
    return {
      engines: this.records.engineLoads(),
      crashEvidence: this.crashingParts.evidence,
      serverLimits: this.limits.reports,
      departures: this.departures.reports,
    };
  }

  /** Adds what a peer has observed. */
  merge({ crashEvidence, serverLimits, departures }: Heartbeat): void {
    this.crashingParts.merge(crashEvidence);
    this.limits.merge(serverLimits);
    this.departures.merge(departures);
  }

  /** Discards what belongs to a server that was removed or has restarted. */
  forget(serverId: string): void {
    this.records.forget(serverId);
    this.limits.forget(serverId);
  }
}
