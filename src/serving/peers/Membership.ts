import { parseJson as parseBounded } from '../../common/json/BoundedJson.js';
import type { FeedRow, RowFeed } from '../../storage/RowFeed.js';
import type { Clock } from '../../common/time/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { ProcessShares } from '../../common/serving/ProcessShares.js';
import type { ConfigurationView } from '../ConfigurationView.js';
import type { RegistrationView } from '../RegistrationView.js';
import type { ServerObservations } from '../ServerObservations.js';
import type { StoreEra } from '../StoreEra.js';
import type { PeerClients } from './PeerClients.js';
import { OwnRow } from './OwnRow.js';
import {
  ConfigurationSnapshot,
  MemberRow,
  RegistrationSnapshot,
  type Heartbeat,
} from './PeerMessages.js';
import type { PeerView } from './PeerView.js';

/** Time-out for copying the configuration or the registrations of a peer, in ms. */
const PULL_TIMEOUT_MS = 1000;

/** Bounds of a row; those of other writers may have any form. */
const ROW_BOUNDS = { maxValues: 2000 };

/** Time in which changes of the own row are collected, in ms: many servers register together. */
const ROW_DELAY_MS = 50;

/** Dependencies of {@link Membership}. */
export interface MembershipServices {
  readonly clock: Clock;
  readonly ownRow: Pick<MemberRow, 'id' | 'address'>;
  readonly table: string;
  readonly feed: RowFeed;
  readonly logger: Logger;
  readonly random: () => number;
  readonly peerClients: PeerClients;
  readonly peerView: PeerView;
  readonly configuration: ConfigurationView;
  readonly registrations: RegistrationView;
  readonly observations: ServerObservations;
  readonly storeEra: StoreEra;
  readonly processShares: ProcessShares;
}

/**
 * Announces this process to its peers and tracks their addresses, which come from member rows in
 * the store. Only heartbeats determine which processes are alive, since they also arrive while the
 * store is unavailable.
 */
export class Membership {
  private readonly members = new Map<string, string>();

  private readonly ownRow: OwnRow;

  private readonly activePulls = new Set<string>();

  /** Whether the rows of all processes were read. Those of earlier lives must be, before a write. */
  private hasRead = false;

  private resolveRead: () => void = () => undefined;

  private readonly firstRead = new Promise<void>((resolve) => {
    this.resolveRead = resolve;
  });

  /** Whether the row of this process should exist; undefined until that is decided. */
  private isAnnounced: boolean | undefined;

  private rowTimer: NodeJS.Timeout | undefined;

  constructor(private readonly services: MembershipServices) {
    this.ownRow = new OwnRow({ ...services, key: services.ownRow.id });
    services.observations.serviceVersions.onChanged(() => this.scheduleRow());
    services.storeEra.onRaised(() => this.scheduleRow());
  }

  /** Addresses of the other processes. */
  get addresses(): string[] {
    return [...this.members.values()];
  }

  /**
   * Replaces all members with those of the given rows, except the ones that are alive.
   * @param rows - all rows of the table
   * @param era - era of the store from which they were read
   */
  replaceRows(rows: readonly FeedRow[], era: number): void {
    const { peerView, ownRow } = this.services;
    [...this.members.keys()]
      .filter((id) => !peerView.isLive(id))
      .forEach((id) => this.members.delete(id));
    this.applyRows(rows);
    if (!rows.some(({ key }) => key === ownRow.id)) this.compareOwnRow(undefined);
    const areCurrent = rows.every(({ value }) => {
      const member = value && MemberRow.safeParse(parseJson(value));
      return !member?.success || member.data.era === era;
    });
    this.services.observations.serviceVersions.recordAllRead(areCurrent);
    this.hasRead = true;
    this.resolveRead();
  }

  /** Applies changed member rows; one without a value was removed. */
  applyRows(rows: readonly FeedRow[]): void {
    const { processShares } = this.services;
    rows.forEach(({ key, value }) => {
      if (key === this.services.ownRow.id) {
        if (value) processShares.recordRow(key);
        if (value && !this.hasRead) this.readEarlierLife(value);
        this.compareOwnRow(value);
        return;
      }
      this.members.delete(key);
      if (!value) return;
      const member = MemberRow.safeParse(parseJson(value));
      if (member.success) {
        this.members.set(key, member.data.address);
        processShares.recordRow(key);
        const { versions } = member.data;
        if (versions) this.services.observations.serviceVersions.recordReport(versions);
      } else this.services.logger.warn('invalid member row ignored', { member: key });
    });
  }

  /** Writes the row of this process, with retries until it succeeds or the process leaves. */
  async announce(): Promise<void> {
    await this.firstRead;
    if (this.isAnnounced === false) return;
    this.isAnnounced = true;
    await this.writeOwnRow();
  }

  /** Stops writing the row of this process. */
  dispose(): void {
    clearTimeout(this.rowTimer);
    this.ownRow.dispose();
  }

  /** Removes the row of this process. A failed write is not retried. */
  withdraw(): Promise<void> {
    this.isAnnounced = false;
    return this.ownRow.withdraw();
  }

  /** Processes a heartbeat and copies newer configuration and registrations from its sender. */
  handleHeartbeat(heartbeat: Heartbeat): void {
    const { peerView, configuration, registrations, observations, storeEra } = this.services;
    peerView.recordHeartbeat(heartbeat);
    this.services.processShares.recordHeartbeat(heartbeat.id, heartbeat.isLeaving);
    observations.merge(heartbeat);
    storeEra.observe(heartbeat.serverEra);
    // The heartbeat of a peer may arrive before its row has been read.
    if (!this.members.has(heartbeat.id)) this.members.set(heartbeat.id, heartbeat.address);
    if (configuration.observe(heartbeat.configurationVersion, heartbeat.configurationState)) {
      this.pullConfiguration(heartbeat);
    }
    if (registrations.shouldCopyFrom(heartbeat)) this.pullRegistrations(heartbeat);
  }

  private compareOwnRow(value: Buffer | undefined): void {
    if (this.isAnnounced !== undefined) this.ownRow.compareWith(value);
  }

  private scheduleRow(): void {
    const { logger } = this.services;
    this.rowTimer ??= setTimeout(() => {
      this.rowTimer = undefined;
      if (!this.isAnnounced) return;
      this.writeOwnRow().catch((error: unknown) =>
        logger.error('writing the member row failed', { error }),
      );
    }, ROW_DELAY_MS);
  }

  private writeOwnRow(): Promise<void> {
    const { ownRow, observations, storeEra } = this.services;
    const { own: versions } = observations.serviceVersions;
    const row: MemberRow = { ...ownRow, versions, era: storeEra.current };
    return this.ownRow.announce(Buffer.from(JSON.stringify(row)));
  }

  private readEarlierLife(value: Buffer): void {
    const row = MemberRow.safeParse(parseJson(value));
    const versions = row.success ? row.data.versions : undefined;
    if (versions) this.services.observations.serviceVersions.recordEarlierLife(versions);
  }

  private pullConfiguration({ id, address }: Heartbeat): void {
    const { peerClients, configuration } = this.services;
    this.pull('configuration', id, async (signal) => {
      const snapshot = await peerClients
        .clientFor(address)
        .configuration.query({ acceptsGzip: true }, { signal });
      if (snapshot) await configuration.applyFromPeer(ConfigurationSnapshot.parse(snapshot), id);
    });
  }

  private pullRegistrations({ id, address }: Heartbeat): void {
    const { peerClients, registrations } = this.services;
    this.pull('registrations', id, async (signal) => {
      const snapshot = await peerClients
        .clientFor(address)
        .registrations.query(undefined, { signal });
      registrations.applyIfNewer(RegistrationSnapshot.parse(snapshot), id);
    });
  }

  /** Allows one pull of each kind at a time: every heartbeat triggers the same pull again. */
  private pull(kind: string, peer: string, copy: (signal: AbortSignal) => Promise<void>): void {
    if (this.activePulls.has(kind)) return;
    this.activePulls.add(kind);
    const { clock, logger } = this.services;
    const startedAt = clock.now();
    const durationMs = () => Math.round(clock.now() - startedAt);
    copy(AbortSignal.timeout(PULL_TIMEOUT_MS))
      .then(() => logger.info('pulled from peer', { kind, peer, durationMs: durationMs() }))
      .catch((error: unknown) =>
        logger.info('pull from peer failed', { kind, peer, error, durationMs: durationMs() }),
      )
      .finally(() => this.activePulls.delete(kind));
  }
}

function parseJson(value: Buffer): unknown {
  try {
    return parseBounded(value.toString('utf8'), ROW_BOUNDS);
  } catch {
    // The schema check that follows rejects it.
    return undefined;
  }
}
