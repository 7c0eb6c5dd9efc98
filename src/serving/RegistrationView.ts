import murmurhash from 'murmurhash';
import type { Clock } from '../common/time/Types.js';
import type { StorePosition } from '../common/serving/StorePosition.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { FeedRow } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { Heartbeat, RegistrationSnapshot } from './peers/PeerMessages.js';

/** Time allowed for the store to deliver a change that a peer already knows, in ms. */
const STORE_DELIVERY_TIMEOUT_MS = 600;

/** Digests are sums modulo this number. */
const DIGEST_RANGE = 2 ** 32;

/** The fields of a heartbeat that identify the registrations known to its sender. */
type PeerRegistrationState = Pick<Heartbeat, 'serverVersion' | 'serverDigest'>;

/**
 * Replica of the backend servers' registrations in the store. While the store does not respond, a
 * process copies them from a peer that knows a later version of the store.
 */
export class RegistrationView {
  private readonly rows = new Map<string, Buffer>();

  private newestVersion = -1;

  private isStoreUnreachable = true;

  private rowsDigest = 0;

  private behindSince: number | undefined;

  /**
   * @param clock - time source
   * @param directory - receives the decoded registrations
   * @param decoder - decodes rows of the store
   * @param logger - logs invalid registrations
   * @param onApplied - called after registrations have changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly directory: ServerDirectory,
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
    private readonly onApplied: () => void,
  ) {}

  /** Version of the store up to which the registrations are known; -1 for none. */
  get version(): number {
    return this.newestVersion;
  }

  /** The registrations for peers, encoded as in the store. */
  get snapshot(): RegistrationSnapshot {
    const rows = [...this.rows].map(([key, value]) => [key, value.toString('base64')] as const);
    return { version: this.newestVersion, rows };
  }

  /** Hash of the registrations; equal in processes that know the same ones. */
  get digest(): number {
    return this.rowsDigest;
  }

  /**
   * Whether to copy the registrations of a peer because it knows changes that this process lacks.
   * While the store responds, the process first waits for the store to deliver them, since a change
   * reaches processes at slightly different times.
   * @returns whether to copy them now
   */
  shouldCopyFrom({ serverVersion, serverDigest }: PeerRegistrationState): boolean {
    const isBehind = serverVersion > this.newestVersion && serverDigest !== this.rowsDigest;
    if (!isBehind) this.behindSince = undefined;
    else this.behindSince ??= this.clock.now();
    const behindMs = this.clock.now() - (this.behindSince ?? Infinity);
    return isBehind && (this.isStoreUnreachable || behindMs > STORE_DELIVERY_TIMEOUT_MS);
  }

  markStoreReachable(): void {
    this.isStoreUnreachable = false;
    this.directory.markStoreReachable();
  }

  markStoreUnreachable(): void {
    this.isStoreUnreachable = true;
    this.directory.markStoreUnreachable();
  }

  /**
   * Applies changed rows.
   * @param rows - changed rows; one without a value was removed
   * @param position - position of the store after these changes
   */
  apply(rows: readonly FeedRow[], { version }: StorePosition): void {
    this.newestVersion = Math.max(this.newestVersion, version);
    rows.forEach(({ key, value }) => {
      if (value) this.rows.set(key, value);
      else this.rows.delete(key);
    });
    if (rows.length > 0) this.updateDigest();
    this.directory.apply(rows.map((row) => this.decode(row)));
    if (rows.length > 0) this.onApplied();
  }

  /**
   * Replaces all rows.
   * @param rows - all rows of the table
   * @param position - position of the store that they belong to
   */
  replaceAll(rows: readonly FeedRow[], { version }: StorePosition): void {
    this.rows.clear();
    this.newestVersion = version;
    rows.forEach(({ key, value }) => value && this.rows.set(key, value));
    this.updateDigest();
    this.directory.replaceAll(rows.map((row) => this.decode(row)));
    this.onApplied();
  }

  /**
   * Replaces all rows with those of a peer if they are newer.
   * @param snapshot - registrations of the peer
   * @param peerId - id of the peer, for the log
   */
  applyIfNewer({ version, rows }: RegistrationSnapshot, peerId: string): void {
    if (version <= this.newestVersion) return;
    this.logger.info('registrations taken from a peer', { peer: peerId, version });
    const decoded = rows.map(([key, value]) => ({ key, value: Buffer.from(value, 'base64') }));
    this.replaceAll(decoded, { era: 0, version });
  }

  private updateDigest(): void {
    const parts = [...this.rows].map(([key, value]) => murmurhash.v3(`${key}=${value.toString()}`));
    // The order of rows differs between processes, so their hashes are added up.
    this.rowsDigest = parts.reduce((sum, part) => (sum + part) % DIGEST_RANGE, 0);
  }

  private decode({ key, value }: FeedRow) {
    if (!value) return { id: key };
    const decoded = this.decoder.registration(key, value);
    if (decoded.ok) return decoded.value;
    this.logger.warn('invalid registration ignored', { server: key, reason: decoded.reason });
    return { id: key };
  }
}
