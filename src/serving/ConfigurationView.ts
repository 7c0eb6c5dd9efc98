import { Emitter } from '../common/events/Emitter.js';
import { RouteTable } from '../common/serving/RouteTable.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { ConfigurationCopy } from './peers/PeerMessages.js';

/** The newest configuration known. Its version only grows, whoever tells of it. */
export class ConfigurationView {
  private current: RouteTable | undefined;

  private newestCopy: ConfigurationCopy | undefined;

  private readonly changedEmitter = new Emitter<RouteTable>();

  /** Fires with each newer configuration. */
  readonly onChanged = this.changedEmitter.event;

  constructor(
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
  ) {}

  get table(): RouteTable | undefined {
    return this.current;
  }

  /** The configuration as other processes may take it over. */
  get copy(): ConfigurationCopy | undefined {
    return this.newestCopy;
  }

  get version(): number {
    return this.current?.version ?? -1;
  }

  /**
   * Takes a configuration if it is newer than the present one.
   * @param value - row value
   * @param source - named in the log
   */
  offer(value: Buffer, source: string): void {
    const decoded = this.decoder.configuration(value);
    if (!decoded.ok) {
      this.logger.error('configuration ignored', { source, reason: decoded.reason });
      return;
    }
    const { version } = decoded.value;
    if (version <= this.version) return;
    const previous = this.version;
    this.current = new RouteTable(decoded.value);
    this.newestCopy = { version, value: value.toString('base64') };
    this.logger.info('configuration in force', { version, previous, source });
    this.changedEmitter.fire(this.current);
  }
}
