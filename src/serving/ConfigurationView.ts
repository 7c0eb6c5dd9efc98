import murmurhash from 'murmurhash';
import { Emitter } from '../common/events/Emitter.js';
import {
  ConfigurationOrder,
  type ConfigurationRank,
} from '../common/serving/ConfigurationOrder.js';
import type { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import { RouteTable } from '../common/serving/RouteTable.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { ConfigurationSnapshot } from './peers/PeerMessages.js';

/**
 * The newest configuration received from the store or a peer. Its version only increases, unless the
 * operator gives a version out again after a restore of the store.
 */
export class ConfigurationView {
  private current: RouteTable | undefined;

  private currentValue: Buffer | undefined;

  /** Configuration that may be in force soon, see {@link applySettled}. */
  private pending: { readonly decoded: ServingConfiguration; readonly value: Buffer } | undefined;

  private readonly order = new ConfigurationOrder();

  private readonly changedEmitter = new Emitter<RouteTable>();

  /** Fired when a newer configuration has been applied. */
  readonly onChanged = this.changedEmitter.event;

  /**
   * @param clock - time source
   * @param decoder - decodes rows of the store
   * @param logger - logs new and invalid configurations
   */
  constructor(
    private readonly clock: Clock,
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
  ) {}

  /** Routes and services of the configuration; undefined before the first one. */
  get routeTable(): RouteTable | undefined {
    return this.current;
  }

  /** The configuration for peers, encoded as in the store; undefined before the first one. */
  get snapshot(): ConfigurationSnapshot | undefined {
    const value = this.currentValue?.toString('base64');
    return value === undefined ? undefined : { ...this.order.history, value };
  }

  /** Version of the configuration; -1 for none. */
  get version(): number {
    return this.current?.version ?? -1;
  }

  /** Rank of the configuration among those of all processes. */
  get rank(): ConfigurationRank {
    return this.order.rank;
  }

  /**
   * Applies the configuration that the store holds if it is newer than the current one.
   * @param value - encoded configuration, as in the row of the store
   * @param era - era of the store in which it was read
   */
  applyStored(value: Buffer, era: number): void {
    const decoded = this.decode(value, 'store');
    if (!decoded) return;
    const { version } = decoded;
    const outcome = this.order.offer({ version, digest: digestOf(value), era }, this.clock.now());
    this.pending = outcome === 'pending' ? { decoded, value } : undefined;
    if (outcome === 'in-force') this.apply(decoded, value, 'store');
    else if (outcome !== 'known') {
      const current = this.version;
      this.logger.warn('older configuration in the store', { version, current, era, outcome });
    }
  }

  /** Applies the configuration that was pending if it has remained the store's for long enough. */
  applySettled(): void {
    if (!this.order.settle(this.clock.now()) || !this.pending) return;
    const { decoded, value } = this.pending;
    this.pending = undefined;
    this.apply(decoded, value, 'store');
  }

  /**
   * Applies the configuration of a peer if it is newer than the current one.
   * @param snapshot - configuration and what the peer knows about its order
   * @param peerId - id of the peer, for the log
   */
  applyFromPeer({ value: encoded, ...history }: ConfigurationSnapshot, peerId: string): void {
    const value = Buffer.from(encoded, 'base64');
    const decoded = this.decode(value, peerId);
    if (decoded && this.order.merge(history, digestOf(value))) this.apply(decoded, value, peerId);
  }

  private decode(value: Buffer, source: string): ServingConfiguration | undefined {
    const decoded = this.decoder.configuration(value);
    if (decoded.ok) return decoded.value;
    this.logger.error('invalid configuration ignored', { source, reason: decoded.reason });
    return undefined;
  }

  private apply(configuration: ServingConfiguration, value: Buffer, source: string): void {
    const previous = this.version;
    const { version, generation } = this.rank;
    this.current = new RouteTable(configuration);
    this.currentValue = value;
    this.logger.info('configuration in force', { version, previous, generation, source });
    this.changedEmitter.fire(this.current);
  }
}

function digestOf(value: Buffer): number {
  return murmurhash.v3(value.toString('utf8'));
}
