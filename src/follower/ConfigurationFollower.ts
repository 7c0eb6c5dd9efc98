import { Emitter } from '../common/events/Emitter.js';
import type { Disposable } from '../common/events/Types.js';
import {
  ConfigurationState,
  type ChangeBatch,
} from '../common/configuration/ConfigurationState.js';
import type { RevisionNotice } from '../common/protocol/Attempt.js';
import type { Change, ConfigurationSnapshot } from '../common/protocol/Configuration.js';
import type { ChangesSince } from '../common/protocol/Control.js';
import type { Clock, RandomSource } from '../common/time/Types.js';
import type { TableStore } from '../storage/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import { SCAN_LIMIT, readChanges, readHead } from './ChangeLog.js';
import { readCondensed } from './CondensedLog.js';
import { SystemTimers } from './SystemTimers.js';
import { withTimeout } from './Timeout.js';
import type { ConfigurationPeer, ConfigurationSource, Timers } from './Types.js';

/** Largest share of the interval that jitter subtracts; the configured interval stays a maximum. */
const JITTER_SHARE = 0.2;
/**
 * Interval after the first failed poll; doubled after each further failure up to
 * {@link MAX_RETRY_INTERVAL_MS}. An agent that polls every 2 s has 3 s left for retries before a
 * change must be in force (5 s after acceptance). The maximum limits the load of a long outage:
 * 1,100 processes that query 3 of 350 entries every 2 s put about 5 calls/s on each entry.
 */
const INITIAL_RETRY_INTERVAL_MS = 250;
const MAX_RETRY_INTERVAL_MS = 2000;
/** Peers queried per poll; with three, one that is behind or dead rarely delays a change. */
const PEERS_PER_POLL = 3;
/** Time-out of a call to a peer; leaves time for another poll within the 5 s that a change has. */
const PEER_TIMEOUT_MS = 400;
/** Maximum revisions tracked for {@link ConfigurationFollower.newerRevisionHeldMs}. */
const APPLIED_REVISIONS_LIMIT = 256;

/**
 * Time without confirmation by the store after which a warning is logged; equals the time within
 * which a change must be in force.
 */
const UNCONFIRMED_WARNING_MS = 5000;

/** Options of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Longest interval between two reads of the head, in milliseconds. */
  readonly pollIntervalMs: number;
  /** Returns the processes to query while the store does not answer. */
  readonly peers: () => Promise<readonly ConfigurationPeer[]>;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Time-out of one read of the store, in milliseconds; 500 by default. */
  readonly readTimeoutMs?: number;
  /**
   * Number of missing changes above which the condensed log is read first; the row limit of one
   * scan by default.
   */
  readonly condensedFrom?: number;
}

/**
 * Keeps the configuration of this process up to date. Polls the head of the log in the store,
 * queries peers while the store does not answer, and pulls changes when a notice on a message shows
 * a newer revision.
 */
export class ConfigurationFollower implements ConfigurationSource {
  private readonly state = new ConfigurationState();

  private readonly changeEmitter = new Emitter<ConfigurationSnapshot>();

  private readonly timers: Timers;

  private readonly readTimeoutMs: number;

  /** Revisions with the times at which they came into force here (monotonic clock), ascending. */
  private appliedRevisions: { revision: number; atMs: number }[] = [];

  private confirmedAtMs: number | null = null;

  private pollTimer: Disposable | null = null;

  private retryIntervalMs = INITIAL_RETRY_INTERVAL_MS;

  private pollInProgress: Promise<void> | null = null;

  private isPollRequested = false;

  private isPulling = false;

  private isReady = false;

  private isDisposed = false;

  private lastCompletePollAtMs: number;

  private isUnconfirmedWarned = false;

  readonly onChange = this.changeEmitter.event;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.timers = options.timers ?? new SystemTimers();
    this.readTimeoutMs = options.readTimeoutMs ?? 500;
    this.lastCompletePollAtMs = options.clock.now();
  }

  /**
   * Starts polling.
   * @returns promise that resolves when the first poll has ended, successfully or not
   */
  start(): Promise<void> {
    return this.refresh();
  }

  /**
   * Polls now, or once more after a poll in progress.
   * @returns promise that resolves when the poll has ended
   */
  refresh(): Promise<void> {
    if (this.pollInProgress) {
      this.isPollRequested = true;
      return this.pollInProgress;
    }
    this.pollTimer?.dispose();
    this.pollInProgress = this.pollWhileRequested().finally(() => {
      this.pollInProgress = null;
    });
    return this.pollInProgress;
  }

  /** Whether the store or a peer has sent a configuration, which may be empty. */
  get ready(): boolean {
    return this.isReady;
  }

  snapshot(): ConfigurationSnapshot {
    return this.state.snapshot;
  }

  notice(): RevisionNotice {
    const confirmedAgeMs =
      this.confirmedAtMs === null
        ? null
        : Math.max(0, this.options.clock.now() - this.confirmedAtMs);
    return { revision: this.state.snapshot.revision, confirmedAgeMs };
  }

  newerRevisionHeldMs(revision: number): number {
    const newer = this.appliedRevisions.find((entry) => entry.revision > revision);
    return newer ? Math.max(0, this.options.clock.now() - newer.atMs) : 0;
  }

  async since(after: number): Promise<ChangesSince> {
    return { changes: [...this.state.since(after).changes], notice: this.notice() };
  }

  async notify(changes: readonly Change[]): Promise<RevisionNotice> {
    const first = changes[0];
    if (first && !this.applyBatch({ after: first.revision - 1, changes })) {
      // Not awaited: the publisher does not need the result of the poll.
      this.refresh().catch((error: unknown) => this.options.logger.error('refresh failed', error));
    }
    return this.notice();
  }

  receiveNotice(notice: RevisionNotice, pull: (after: number) => Promise<readonly Change[]>): void {
    if (notice.revision <= this.state.snapshot.revision || this.isPulling || this.isDisposed)
      return;
    this.isPulling = true;
    const after = this.state.snapshot.revision;
    withTimeout(pull(after), this.timers, PEER_TIMEOUT_MS)
      .then((changes) => {
        this.applyBatch({ after, changes });
      })
      .catch((error: unknown) => {
        this.options.logger.debug('pull from peer failed', { reason: String(error) });
      })
      .finally(() => {
        this.isPulling = false;
      });
  }

  dispose(): void {
    this.isDisposed = true;
    this.pollTimer?.dispose();
    this.changeEmitter.dispose();
  }

  private async pollWhileRequested(): Promise<void> {
    let complete = false;
    do {
      this.isPollRequested = false;
      complete = await this.poll();
    } while (this.isPollRequested && !this.isDisposed);
    this.logConfirmation(complete);
    this.scheduleNextPoll(complete);
  }

  /** Logs once when the store has not confirmed the configuration for long, and on recovery. */
  private logConfirmation(complete: boolean): void {
    const { clock, logger } = this.options;
    const { revision } = this.state.snapshot;
    const silentMs = Math.round(clock.now() - this.lastCompletePollAtMs);
    if (complete) {
      if (this.isUnconfirmedWarned)
        logger.info('store confirms the configuration again', { revision, silentMs });
      this.isUnconfirmedWarned = false;
      this.lastCompletePollAtMs = clock.now();
    } else if (!this.isUnconfirmedWarned && silentMs > UNCONFIRMED_WARNING_MS) {
      logger.warn('store does not confirm the configuration', { revision, silentMs });
      this.isUnconfirmedWarned = true;
    }
  }

  private scheduleNextPoll(complete: boolean): void {
    if (this.isDisposed) return;
    const { pollIntervalMs, random } = this.options;
    const interval = complete ? pollIntervalMs : Math.min(pollIntervalMs, this.retryIntervalMs);
    this.retryIntervalMs = complete
      ? INITIAL_RETRY_INTERVAL_MS
      : Math.min(2 * this.retryIntervalMs, MAX_RETRY_INTERVAL_MS);
    this.pollTimer = this.timers.after(interval * (1 - JITTER_SHARE * random.next()), () => {
      this.refresh().catch((error: unknown) => this.options.logger.error('poll failed', error));
    });
  }

  /** @returns whether the store confirmed the local revision or sent all changes up to its head. */
  private async poll(): Promise<boolean> {
    const complete = await this.pollStore();
    if (!complete && !this.isDisposed) await this.pollPeers();
    return complete;
  }

  private async pollStore(): Promise<boolean> {
    const { store, clock } = this.options;
    // Measured before the read is sent: the head may change right after the store has read it.
    const readStartMs = clock.now();
    const head = await readHead(store, this.readTimeoutMs);
    if (!head.ok) return false;
    await this.readCondensedLog(head.value.revision);
    const after = this.state.snapshot.revision;
    if (head.value.revision > after) {
      const changes = await readChanges(store, after, head.value.revision, this.readTimeoutMs);
      if (!changes.ok) return false;
      // A stale read may lack the newest changes; those it returns are consecutive and are applied.
      this.applyBatch({ after, changes: changes.value });
    }
    if (this.state.snapshot.revision < head.value.revision) return false;
    if (this.state.snapshot.revision === head.value.revision) this.confirmedAtMs = readStartMs;
    this.isReady = true;
    return true;
  }

  /**
   * Applies the condensed log if many changes are missing. Later changes, or all of them if it
   * cannot be read, come from the full log.
   */
  private async readCondensedLog(head: number): Promise<void> {
    const { store, condensedFrom = SCAN_LIMIT } = this.options;
    if (head - this.state.snapshot.revision <= condensedFrom) return;
    const condensed = await readCondensed(store, this.readTimeoutMs);
    if (condensed.ok && condensed.value) this.applyBatch({ after: 0, changes: condensed.value });
  }

  private async pollPeers(): Promise<void> {
    const { peers, logger } = this.options;
    const candidates = await withTimeout(peers(), this.timers, PEER_TIMEOUT_MS).catch(() => []);
    const chosen = this.choosePeers(candidates);
    await Promise.all(
      chosen.map(async (peer) => {
        const after = this.state.snapshot.revision;
        try {
          const { changes } = await withTimeout(peer.since(after), this.timers, PEER_TIMEOUT_MS);
          this.applyBatch({ after, changes });
        } catch (error) {
          logger.debug('peer gave no configuration', { reason: String(error) });
        }
      }),
    );
  }

  private choosePeers(peers: readonly ConfigurationPeer[]): ConfigurationPeer[] {
    const rest = [...peers];
    const chosen: ConfigurationPeer[] = [];
    while (rest.length > 0 && chosen.length < PEERS_PER_POLL) {
      const position = Math.floor(this.options.random.next() * rest.length);
      chosen.push(...rest.splice(position, 1));
    }
    return chosen;
  }

  /** @returns false if changes that precede the batch are missing. */
  private applyBatch(batch: ChangeBatch): boolean {
    const outcome = this.state.apply(batch);
    if (outcome !== 'applied') return outcome === 'known';
    const { snapshot } = this.state;
    this.appliedRevisions.push({ revision: snapshot.revision, atMs: this.options.clock.now() });
    if (this.appliedRevisions.length > APPLIED_REVISIONS_LIMIT)
      this.appliedRevisions = this.appliedRevisions.slice(-APPLIED_REVISIONS_LIMIT / 2);
    // The store has yet to confirm the new revision as the newest.
    this.confirmedAtMs = null;
    this.isReady = true;
    this.changeEmitter.fire(snapshot);
    return true;
  }
}
