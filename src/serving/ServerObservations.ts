import { CrashingParts } from '../common/serving/CrashingParts.js';
import { ServerLimits } from '../common/serving/ServerLimits.js';
import { ServerRecords } from '../common/serving/ServerRecords.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Heartbeat } from './peers/PeerMessages.js';

/** What this process and its peers have observed about backend servers. */
export class ServerObservations {
  readonly records: ServerRecords;

  readonly limits: ServerLimits;

  readonly crashingParts: CrashingParts;

  /**
   * @param clock - time source
   * @param logger - logs limits that servers name
   */
  constructor(clock: Clock, logger: Logger) {
    this.records = new ServerRecords(clock);
    this.limits = new ServerLimits(clock);
    this.crashingParts = new CrashingParts(clock);
    this.limits.onChanged((change) => logger.info('server limit changed', { ...change }));
  }

  /** The part of a heartbeat that peers {@link merge}. */
  get heartbeat(): Pick<Heartbeat, 'engines' | 'crashEvidence'> {
    return { engines: this.records.engineLoads(), crashEvidence: this.crashingParts.evidence };
  }

  /** Adds what a peer has observed. */
  merge({ crashEvidence }: Heartbeat): void {
    this.crashingParts.merge(crashEvidence);
  }

  /** Discards what belongs to a server that was removed or has restarted. */
  forget(serverId: string): void {
    this.records.forget(serverId);
    this.limits.forget(serverId);
  }
}
