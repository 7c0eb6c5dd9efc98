import { setTimeout as sleep } from 'node:timers/promises';
import { isNewerConfiguration } from '../../common/serving/ConfigurationOrder.js';
import type { FeedRow, RowFeed } from '../../storage/RowFeed.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { ConfigurationView } from '../ConfigurationView.js';
import type { RegistrationView } from '../RegistrationView.js';
import type { ServerObservations } from '../ServerObservations.js';
import type { StoreEra } from '../StoreEra.js';
import type { PeerClients } from './PeerClients.js';
import { MemberRow, type Heartbeat } from './PeerMessages.js';
import type { PeerView } from './PeerView.js';

/** Time-out of a write of the member row, in ms. */
const WRITE_TIMEOUT_MS = 1000;
const WRITE_RETRY_DELAY_MS = 500;

/** Time-out for copying the configuration or the registrations of a peer, in ms. */
const PULL_TIMEOUT_MS = 1000;

/** Dependencies of {@link Membership}. */
export interface MembershipServices {
  readonly ownRow: MemberRow;
  readonly table: string;
  readonly feed: RowFeed;
  readonly logger: Logger;
  readonly peerClients: PeerClients;
  readonly peerView: PeerView;
  readonly configuration: ConfigurationView;
  readonly registrations: RegistrationView;
  readonly observations: ServerObservations;
  readonly storeEra: StoreEra;
}

/**
 * Announces this process to its peers and tracks their addresses, which come from member rows in
 * the store. Only heartbeats determine which processes are alive, since they also arrive while the
 * store is unavailable.
 */
export class Membership {
  private readonly members = new Map<string, string>();

  private isLeaving = false;

  private readonly activePulls = new Set<string>();

  constructor(private readonly services: MembershipServices) {}

  /** Addresses of the other processes. */
  get addresses(): string[] {
    return [...this.members.values()];
  }

  /** Replaces all members with those of the given rows. */
  replaceRows(rows: readonly FeedRow[]): void {
    this.members.clear();
    this.applyRows(rows);
  }

  /** Applies changed member rows; one without a value was removed. */
  applyRows(rows: readonly FeedRow[]): void {
    rows.forEach(({ key, value }) => {
      this.members.delete(key);
      if (!value || key === this.services.ownRow.id) return;
      const member = MemberRow.safeParse(parseJson(value));
      if (member.success) this.members.set(key, member.data.address);
      else this.services.logger.warn('invalid member row ignored', { member: key });
    });
  }

  /** Writes the row of this process, with retries until it succeeds or the process leaves. */
  async announce(): Promise<void> {
    await this.writeRow(Buffer.from(JSON.stringify(this.services.ownRow)), () => this.isLeaving);
  }

  /** Stops the retries of {@link announce}. */
  dispose(): void {
    this.isLeaving = true;
  }

  /** Removes the row of this process. A failed write is not retried. */
  async withdraw(): Promise<void> {
    this.isLeaving = true;
    await this.writeRow(undefined, () => true);
  }

  /** Processes a heartbeat and copies newer configuration and registrations from its sender. */
  handleHeartbeat(heartbeat: Heartbeat): void {
    const { peerView, configuration, registrations, observations, storeEra } = this.services;
    peerView.recordHeartbeat(heartbeat);
    observations.merge(heartbeat);
    storeEra.observe(heartbeat.serverEra);
    // The heartbeat of a peer may arrive before its row has been read.
    if (!this.members.has(heartbeat.id)) this.members.set(heartbeat.id, heartbeat.address);
    const { configurationVersion: version, configurationGeneration: generation } = heartbeat;
    if (isNewerConfiguration({ generation, version }, configuration.rank)) {
      this.pullConfiguration(heartbeat);
    }
    if (registrations.shouldCopyFrom(heartbeat)) this.pullRegistrations(heartbeat);
  }

  private pullConfiguration({ id, address }: Heartbeat): void {
    const { peerClients, configuration } = this.services;
    this.pull('configuration', id, async (signal) => {
      const snapshot = await peerClients
        .clientFor(address)
        .configuration.query(undefined, { signal });
      if (snapshot) configuration.applyFromPeer(snapshot, id);
    });
  }

  private pullRegistrations({ id, address }: Heartbeat): void {
    const { peerClients, registrations } = this.services;
    this.pull('registrations', id, async (signal) => {
      registrations.applyIfNewer(
        await peerClients.clientFor(address).registrations.query(undefined, { signal }),
        id,
      );
    });
  }

  /** Allows one pull of each kind at a time: every heartbeat triggers the same pull again. */
  private pull(kind: string, peer: string, copy: (signal: AbortSignal) => Promise<void>): void {
    if (this.activePulls.has(kind)) return;
    this.activePulls.add(kind);
    copy(AbortSignal.timeout(PULL_TIMEOUT_MS))
      .catch((error: unknown) =>
        this.services.logger.info('pull from peer failed', { kind, peer, error }),
      )
      .finally(() => this.activePulls.delete(kind));
  }

  private async writeRow(value: Buffer | undefined, shouldStop: () => boolean): Promise<void> {
    const { feed, table, ownRow, logger } = this.services;
    for (;;) {
      const result = await feed.write(table, ownRow.id, value, { timeoutMs: WRITE_TIMEOUT_MS });
      if (result.ok) return;
      logger.warn('member row not written', { error: result.error });
      if (shouldStop()) return;
      await sleep(WRITE_RETRY_DELAY_MS);
    }
  }
}

function parseJson(value: Buffer): unknown {
  try {
    return JSON.parse(value.toString('utf8'));
  } catch {
    // The schema check that follows rejects it.
    return undefined;
  }
}
