import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { FeedRow } from '../storage/RowFeed.js';
import type { Logger } from '../telemetry/Logger.js';
import type { RowDecoder } from './Types.js';
import type { RegistrationCopy } from './peers/PeerMessages.js';

/**
 * Registrations of backend servers as the store has them. A process that the store does not answer
 * takes them from a peer that knows a later version of the store.
 */
export class RegistrationView {
  private readonly rows = new Map<string, Buffer>();

  private newestVersion = -1;

  private isStoreLost = true;

  constructor(
    private readonly directory: ServerDirectory,
    private readonly decoder: RowDecoder,
    private readonly logger: Logger,
    private readonly onApplied: () => void,
  ) {}

  /** Version of the store up to which the registrations are known; -1 for none. */
  get version(): number {
    return this.newestVersion;
  }

  /** The registrations as other processes may take them over. */
  get copy(): RegistrationCopy {
    const rows = [...this.rows].map(([key, value]) => [key, value.toString('base64')] as const);
    return { version: this.newestVersion, rows };
  }

  /** True if a peer knows more and the store does not answer. */
  needsPeer(peerVersion: number): boolean {
    return this.isStoreLost && peerVersion > this.newestVersion;
  }

  markStoreReachable(): void {
    this.isStoreLost = false;
    this.directory.markStoreReachable();
  }

  markStoreLost(): void {
    this.isStoreLost = true;
    this.directory.markStoreLost();
  }

  /** Takes rows that changed. */
  apply(rows: readonly FeedRow[], version: number): void {
    this.newestVersion = Math.max(this.newestVersion, version);
    rows.forEach(({ key, value }) => {
      if (value) this.rows.set(key, value);
      else this.rows.delete(key);
    });
    this.directory.apply(rows.map((row) => this.decode(row)));
    if (rows.length > 0) this.onApplied();
  }

  /** Takes all rows of the table. */
  replaceAll(rows: readonly FeedRow[], version: number): void {
    this.rows.clear();
    this.newestVersion = version;
    rows.forEach(({ key, value }) => value && this.rows.set(key, value));
    this.directory.replaceAll(rows.map((row) => this.decode(row)));
    this.onApplied();
  }

  /** Takes the registrations of a peer if they are newer and still needed. */
  offer({ version, rows }: RegistrationCopy, peerId: string): void {
    if (!this.needsPeer(version)) return;
    this.logger.info('registrations taken from a peer', { peer: peerId, version });
    const decoded = rows.map(([key, value]) => ({ key, value: Buffer.from(value, 'base64') }));
    this.replaceAll(decoded, version);
  }

  private decode({ key, value }: FeedRow) {
    if (!value) return { id: key };
    const decoded = this.decoder.registration(key, value);
    if (decoded.ok) return decoded.value;
    this.logger.warn('registration ignored', { server: key, reason: decoded.reason });
    return { id: key };
  }
}
