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

/** Bounds of a row; those of other writers may have any form, and older versions write more. */
const ROW_BOUNDS = { maxValues: 2000 };

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

  constructor(private readonly services: MembershipServices) {
    this.ownRow = new OwnRow({ ...services, key: services.ownRow.id });
  }

  /** Addresses of the other processes. */
  get addresses(): string[] {
    return [...this.members.values()];
  }

  /** Replaces all members with those of the given rows, except the ones that are alive. */
  replaceRows(rows: readonly FeedRow[]): void {
    const { peerView, ownRow } = this.services;
    [...this.members.keys()]
      .filter((id) => !peerView.isLive(id))
      .forEach((id) => this.members.delete(id));
    this.applyRows(rows);
    if (!rows.some(({ key }) => key === ownRow.id)) this.ownRow.compareWith(undefined);
  }

  /** Applies changed member rows; one without a value was removed. */
  applyRows(rows: readonly FeedRow[]): void {
    const { processShares } = this.services;
    rows.forEach(({ key, value }) => {
      if (key === this.services.ownRow.id) {
        if (value) processShares.recordRow(key);
        this.ownRow.compareWith(value);
        return;
      }
      this.members.delete(key);
      if (!value) return;
      const member = MemberRow.safeParse(parseJson(value));
      if (member.success) {
        this.members.set(key, member.data.address);
        processShares.recordRow(key);
      } else this.services.logger.warn('invalid member row ignored', { member: key });
    });
  }

  /** Writes the row of this process, with retries until it succeeds or the process leaves. */
  async announce(): Promise<void> {
    await this.ownRow.announce(Buffer.from(JSON.stringify(this.services.ownRow)));
  }

  /** Stops writing the row of this process. */
  dispose(): void {
    this.ownRow.dispose();
  }

  /** Removes the row of this process. A failed write is not retried. */
  withdraw(): Promise<void> {
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
