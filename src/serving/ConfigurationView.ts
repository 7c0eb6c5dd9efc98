import { promisify } from 'node:util';
import { gunzip, gzip, type ZlibOptions } from 'node:zlib';
import murmurhash from 'murmurhash';
import { MAX_BODY_BYTES } from '../common/BoundedBody.js';
import { Emitter } from '../common/events/Emitter.js';
import { ConfigurationOrder } from '../common/serving/ConfigurationOrder.js';
import type { ConfigurationState } from '../common/serving/ConfigurationState.js';
import type { StorePosition } from '../common/serving/StorePosition.js';
import type { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import { RouteTable } from '../common/serving/RouteTable.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { ConfigurationQuery, ConfigurationSnapshot } from './peers/PeerMessages.js';

const compress = promisify<Buffer, Buffer>(gzip);
const decompress = promisify<Buffer, ZlibOptions, Buffer>(gunzip);

/**
 * The newest configuration received from the store or a peer. Its version only increases, unless the
 * operator gives a version out again after a restore of the store.
 */
export class ConfigurationView {
  private current: RouteTable | undefined;

  private currentValue: Buffer | undefined;

  private currentDigest: number | undefined;

  /** {@link currentValue} for the peers; undefined before the first one has asked for it. */
  private compressedValue: Promise<Buffer> | undefined;

  /** Configuration that was read last and may be in force soon, see {@link applySettled}. */
  private stored: { readonly decoded: ServingConfiguration; readonly value: Buffer } | undefined;

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

  /**
   * @param query - what the peer accepts
   * @returns the configuration for a peer, encoded as in the store; undefined before the first one
   */
  async snapshotFor({
    acceptsGzip,
  }: ConfigurationQuery): Promise<ConfigurationSnapshot | undefined> {
    const { history } = this.order;
    const value = this.currentValue;
    if (!value || !history) return undefined;
    if (!acceptsGzip) return { ...history, value: value.toString('base64') };
    // All peers ask at about the same time.
    this.compressedValue ??= compress(value);
    const compressed = await this.compressedValue;
    return { ...history, value: compressed.toString('base64'), isCompressed: true };
  }

  /** Version of the configuration; -1 for none. */
  get version(): number {
    return this.current?.version ?? -1;
  }

  /** Which configuration is in force and which one the store holds, for peers. */
  get state(): ConfigurationState | undefined {
    return this.order.state;
  }

  /**
   * Applies the configuration that the store holds if it is newer than the current one.
   * @param value - encoded configuration, as in the row of the store
   * @param position - position of the store at which the row was written
   */
  applyStored(value: Buffer, position: StorePosition): void {
    const digest = digestOf(value);
    const decoded = this.decode(value, digest, 'store');
    if (!decoded) return;
    const { version } = decoded;
    const offered = { version, digest, position };
    const outcome = this.order.offer(offered, this.clock.now());
    this.stored = { decoded, value };
    if (outcome === 'in-force') this.apply(decoded, value, 'store');
    else if (outcome !== 'known') {
      const current = this.version;
      this.logger.warn('older configuration in the store', {
        version,
        current,
        position,
        outcome,
      });
    }
  }

  /** Time after which the store should be read again, in ms. */
  get recheckMs(): number {
    return this.order.recheckMs;
  }

  /**
   * Applies the configuration that was pending if it has remained the store's for long enough. To be
   * called after each response of the store.
   */
  applySettled(): void {
    if (!this.order.settle(this.clock.now()) || !this.stored) return;
    const { decoded, value } = this.stored;
    this.apply(decoded, value, 'store');
  }

  /**
   * Learns from the heartbeat of a peer which configuration the store holds.
   * @param version - number of the peer's configuration; -1 for none
   * @param state - state of the peer; undefined for one of an older version
   * @returns whether to copy the peer's configuration
   */
  observe(version: number, state: ConfigurationState | undefined): boolean {
    if (state) this.order.observe(state, this.clock.now());
    return this.order.isBehind(version, state);
  }

  /**
   * Applies the configuration of a peer if it is newer than the current one.
   * @param snapshot - configuration and what the peer knows about its order
   * @param peerId - id of the peer, for the log
   */
  async applyFromPeer(
    { value: encoded, isCompressed, ...history }: ConfigurationSnapshot,
    peerId: string,
  ): Promise<void> {
    const received = Buffer.from(encoded, 'base64');
    const value = isCompressed
      ? await decompress(received, { maxOutputLength: MAX_BODY_BYTES })
      : received;
    const digest = digestOf(value);
    const decoded = this.decode(value, digest, peerId);
    if (!decoded) return;
    const isPreferred = this.order.merge(history, digest, this.clock.now());
    if (isPreferred) this.apply(decoded, value, peerId);
  }

  /** Decodes a configuration unless it is the one in force, which arrives from several sources. */
  private decode(value: Buffer, digest: number, source: string): ServingConfiguration | undefined {
    if (digest === this.currentDigest) return this.current?.configuration;
    const startedAt = this.clock.now();
    const decoded = this.decoder.configuration(value);
    const decodeMs = Math.round(this.clock.now() - startedAt);
    this.logger.info('configuration read', { source, bytes: value.length, decodeMs });
    if (decoded.ok) return decoded.value;
    this.logger.error('invalid configuration ignored', { source, reason: decoded.reason });
    return undefined;
  }

  private apply(configuration: ServingConfiguration, value: Buffer, source: string): void {
    const previous = this.version;
    const { version } = configuration;
    const position = this.order.state?.inForce.position;
    this.current = new RouteTable(configuration);
    this.currentValue = value;
    this.currentDigest = this.order.state?.inForce.digest;
    this.compressedValue = undefined;
    this.logger.info('configuration in force', { version, previous, position, source });
    this.changedEmitter.fire(this.current);
  }
}

function digestOf(value: Buffer): number {
  return murmurhash.v3(value.toString('utf8'));
}
