import { Emitter } from '../common/events/Emitter.js';
import { RouteTable } from '../common/serving/RouteTable.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { ConfigurationSnapshot } from './peers/PeerMessages.js';

/** The newest configuration received from the store or a peer. Its version only increases. */
export class ConfigurationView {
  private current: RouteTable | undefined;

  private currentSnapshot: ConfigurationSnapshot | undefined;

  private readonly changedEmitter = new Emitter<RouteTable>();

  /** Fired when a newer configuration has been applied. */
  readonly onChanged = this.changedEmitter.event;

  /**
   * @param decoder - decodes rows of the store
   * @param logger - logs new and invalid configurations
   */
  constructor(
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
  ) {}

  /** Routes and services of the configuration; undefined before the first one. */
  get routeTable(): RouteTable | undefined {
    return this.current;
  }

  /** The configuration for peers, encoded as in the store; undefined before the first one. */
  get snapshot(): ConfigurationSnapshot | undefined {
    return this.currentSnapshot;
  }

  /** Version of the configuration; -1 for none. */
  get version(): number {
    return this.current?.version ?? -1;
  }

  /**
   * Applies a configuration if it is newer than the current one.
   * @param value - encoded configuration, as in the row of the store
   * @param source - `store` or the id of a peer, for the log
   */
  applyIfNewer(value: Buffer, source: string): void {
    const decoded = this.decoder.configuration(value);
    if (!decoded.ok) {
      this.logger.error('invalid configuration ignored', { source, reason: decoded.reason });
      return;
    }
    const { version } = decoded.value;
    if (version < this.version) {
      this.logger.warn('older configuration ignored', { version, current: this.version, source });
    }
    if (version <= this.version) return;
    const previous = this.version;
    this.current = new RouteTable(decoded.value);
    this.currentSnapshot = { version, value: value.toString('base64') };
    this.logger.info('configuration in force', { version, previous, source });
    this.changedEmitter.fire(this.current);
  }
}
