import murmurhash from 'murmurhash';
import type { Clock } from '../common/time/Types.js';
import {
  isLaterPosition,
  UNKNOWN_POSITION,
  type StorePosition,
} from '../common/serving/StorePosition.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { FeedRow } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { Heartbeat, RegistrationSnapshot } from './peers/PeerMessages.js';

/** Digests are sums modulo this number. */
const DIGEST_RANGE = 2 ** 32;

/** The fields of a heartbeat that identify the registrations known to its sender. */
type PeerRegistrationState = Pick<Heartbeat, 'serverEra' | 'serverVersion' | 'serverDigest'>;

/**
 * Replica of the backend servers' registrations in the store. While the store does not respond, a
 * process copies them from a peer that knows a later position of the store.
 */
export class RegistrationView {
  private readonly rows = new Map<string, Buffer>();

  private newestPosition = UNKNOWN_POSITION;

  private isStoreUnreachable = true;

  private rowsDigest = 0;

  /** Time since which a peer knows changes that neither the store nor a peer has delivered. */
  private behindSince: number | undefined;

  /**
   * @param clock - time source
   * @param directory - receives the decoded registrations
   * @param decoder - decodes rows of the store
   * @param logger - logs invalid registrations
   * @param onApplied - called after registrations have changed
   * @param deliveryTimeoutMs - returns the time allowed for the store to deliver a change that a peer
   *   already knows, in ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly directory: ServerDirectory,
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
    private readonly onApplied: () => void,
    private readonly deliveryTimeoutMs: () => number,
  ) {}

  /** Position of the store up to which the registrations are known. */
  get position(): StorePosition {
    return this.newestPosition;
  }

  /** The registrations for peers, encoded as in the store. */
  get snapshot(): RegistrationSnapshot {
    const rows = [...this.rows].map(([key, value]): [string, string] => [
      key,
      value.toString('base64'),
    ]);
    return { ...this.newestPosition, rows };
  }

  /** Hash of the registrations; equal in processes that know the same ones. */
  get digest(): number {
    return this.rowsDigest;
  }

  /**
   * Whether to copy the registrations of a peer because it knows changes that this process lacks.
   * While the store responds, the process first waits for the store to deliver them, since a change
   * reaches processes at slightly different times. Peers that lack them too do not restart the wait.
   * @returns whether to copy them now
   */
  shouldCopyFrom({ serverEra, serverVersion, serverDigest }: PeerRegistrationState): boolean {
    const position = { era: serverEra, version: serverVersion };
    const isLater = isLaterPosition(position, this.newestPosition);
    if (!isLater || serverDigest === this.rowsDigest) return false;
    if (this.isStoreUnreachable) return true;
    this.behindSince ??= this.clock.now();
    return this.clock.now() - this.behindSince > this.deliveryTimeoutMs();
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
  apply(rows: readonly FeedRow[], position: StorePosition): void {
    this.behindSince = undefined;
    if (isLaterPosition(position, this.newestPosition)) this.newestPosition = position;
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
   * @param isRestored - whether the store was restored since the rows were known
   */
  replaceAll(rows: readonly FeedRow[], position: StorePosition, isRestored: boolean): void {
    this.behindSince = undefined;
    this.rows.clear();
    this.newestPosition = position;
    rows.forEach(({ key, value }) => value && this.rows.set(key, value));
    this.updateDigest();
    this.directory.replaceAll(
      rows.map((row) => this.decode(row)),
      isRestored,
    );
    this.onApplied();
  }

  /**
   * Replaces all rows with those of a peer if they are newer.
   * @param snapshot - registrations of the peer
   * @param peerId - id of the peer, for the log
   */
  applyIfNewer({ rows, ...position }: RegistrationSnapshot, peerId: string): void {
    const known = this.newestPosition;
    if (!isLaterPosition(position, known)) return;
    this.logger.info('registrations taken from a peer', { peer: peerId, ...position });
    const isRestored = known !== UNKNOWN_POSITION && position.era !== known.era;
    const decoded = rows.map(([key, value]) => ({ key, value: Buffer.from(value, 'base64') }));
    this.replaceAll(decoded, position, isRestored);
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
