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

/** Part of the interval taken off at random. Jitter only shortens it, so the interval is a bound. */
const JITTER_SHARE = 0.2;
/**
 * Interval after the first poll that failed; doubled up to the longest one. An agent that polls
 * every 2 s has 3 s left for further tries within the bound of 5 s. The longest interval
 * keeps a long outage cheap: 1,100 processes that ask 3 of 350 entries every 2 s are 5 calls/s each.
 */
const FIRST_RETRY_MS = 250;
const LONGEST_RETRY_MS = 2000;
/** Peers asked at a time; with three, one that is behind or dead seldom matters. */
const PEERS_ASKED = 3;
/** Time-out of a call to a peer; a silent peer must leave time for another try within the bound. */
const PEER_TIMEOUT_MS = 400;
/** Times of learning that are kept for {@link ConfigurationFollower.newerKnownForMs}. */
const LEARNED_LIMIT = 256;

/** Time without an answer of the store after which operators are warned; the bound of a change. */
const UNCONFIRMED_WARNING_MS = 5000;

/** Options of {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Longest interval between two reads of the head, in milliseconds. */
  readonly pollIntervalMs: number;
  /** Processes to ask while the store does not answer. */
  readonly peers: () => Promise<readonly ConfigurationPeer[]>;
  readonly logger: Logger;
  /** Timers of Node.js by default. */
  readonly timers?: Timers;
  /** Time-out of one read of the store, in milliseconds; 500 by default. */
  readonly readTimeoutMs?: number;
  /** Missing changes from which the condensed log is read first; one scan of the log by default. */
  readonly condensedFrom?: number;
}

/** Follows the configuration through the store, through peers and through notices on messages. */
export class ConfigurationFollower implements ConfigurationSource {
  private readonly state = new ConfigurationState();

  private readonly changed = new Emitter<ConfigurationSnapshot>();

  private readonly timers: Timers;

  private readonly readTimeoutMs: number;

  /** When each revision came into force, ascending, on the monotonic clock. */
  private learned: { revision: number; atMs: number }[] = [];

  private confirmedAtMs: number | null = null;

  private timer: Disposable | null = null;

  private retryMs = FIRST_RETRY_MS;

  private polling: Promise<void> | null = null;

  private pollAgain = false;

  private pulling = false;

  private answered = false;

  private disposed = false;

  private completedAtMs: number;

  private isWarned = false;

  readonly onChange = this.changed.event;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    this.timers = options.timers ?? new SystemTimers();
    this.readTimeoutMs = options.readTimeoutMs ?? 500;
    this.completedAtMs = options.clock.now();
  }

  /**
   * Starts polling.
   * @returns when the first poll ended, with or without success
   */
  start(): Promise<void> {
    return this.refresh();
  }

  /**
   * Polls now, or once more after a poll that is under way.
   * @returns when the poll ended
   */
  refresh(): Promise<void> {
    if (this.polling) {
      this.pollAgain = true;
      return this.polling;
    }
    this.timer?.dispose();
    this.polling = this.pollUntilQuiet().finally(() => {
      this.polling = null;
    });
    return this.polling;
  }

  /** True once the store answered or a peer gave a revision; an empty configuration counts too. */
  get ready(): boolean {
    return this.answered;
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

  newerKnownForMs(revision: number): number {
    const newer = this.learned.find((entry) => entry.revision > revision);
    return newer ? Math.max(0, this.options.clock.now() - newer.atMs) : 0;
  }

  async since(after: number): Promise<ChangesSince> {
    return { changes: [...this.state.since(after).changes], notice: this.notice() };
  }

  async notify(changes: readonly Change[]): Promise<RevisionNotice> {
    const first = changes[0];
    if (first && !this.take({ after: first.revision - 1, changes })) {
      // The fetch is not awaited: the publisher needs no answer about it.
      this.refresh().catch((error: unknown) => this.options.logger.error('refresh failed', error));
    }
    return this.notice();
  }

  hear(notice: RevisionNotice, pull: (after: number) => Promise<readonly Change[]>): void {
    if (notice.revision <= this.state.snapshot.revision || this.pulling || this.disposed) return;
    this.pulling = true;
    const after = this.state.snapshot.revision;
    withTimeout(pull(after), this.timers, PEER_TIMEOUT_MS)
      .then((changes) => {
        this.take({ after, changes });
      })
      .catch((error: unknown) => {
        this.options.logger.debug('pull from peer failed', { reason: String(error) });
      })
      .finally(() => {
        this.pulling = false;
      });
  }

  dispose(): void {
    this.disposed = true;
    this.timer?.dispose();
    this.changed.dispose();
  }

  private async pollUntilQuiet(): Promise<void> {
    let complete = false;
    do {
      this.pollAgain = false;
      complete = await this.poll();
    } while (this.pollAgain && !this.disposed);
    this.logConfirmation(complete);
    this.schedule(complete);
  }

  /** Writes one line when the store has not answered for long, and one when it answers again. */
  private logConfirmation(complete: boolean): void {
    const { clock, logger } = this.options;
    const { revision } = this.state.snapshot;
    const silentMs = Math.round(clock.now() - this.completedAtMs);
    if (complete) {
      if (this.isWarned)
        logger.info('store confirms the configuration again', { revision, silentMs });
      this.isWarned = false;
      this.completedAtMs = clock.now();
    } else if (!this.isWarned && silentMs > UNCONFIRMED_WARNING_MS) {
      logger.warn('store does not confirm the configuration', { revision, silentMs });
      this.isWarned = true;
    }
  }

  private schedule(complete: boolean): void {
    if (this.disposed) return;
    const { pollIntervalMs, random } = this.options;
    const interval = complete ? pollIntervalMs : Math.min(pollIntervalMs, this.retryMs);
    this.retryMs = complete ? FIRST_RETRY_MS : Math.min(2 * this.retryMs, LONGEST_RETRY_MS);
    this.timer = this.timers.after(interval * (1 - JITTER_SHARE * random.next()), () => {
      this.refresh().catch((error: unknown) => this.options.logger.error('poll failed', error));
    });
  }

  /** @returns true if the store confirmed the revision held or gave all changes up to its head. */
  private async poll(): Promise<boolean> {
    const complete = await this.pollStore();
    if (!complete && !this.disposed) await this.pollPeers();
    return complete;
  }

  private async pollStore(): Promise<boolean> {
    const { store, clock } = this.options;
    // Taken before the read is sent: the head may change right after the store read it.
    const askedAtMs = clock.now();
    const head = await readHead(store, this.readTimeoutMs);
    if (!head.ok) return false;
    await this.readCondensedLog(head.value.revision);
    const after = this.state.snapshot.revision;
    if (head.value.revision > after) {
      const changes = await readChanges(store, after, head.value.revision, this.readTimeoutMs);
      if (!changes.ok) return false;
      // A stale read may lack the newest changes; what it has is contiguous and is taken.
      this.take({ after, changes: changes.value });
    }
    if (this.state.snapshot.revision < head.value.revision) return false;
    if (this.state.snapshot.revision === head.value.revision) this.confirmedAtMs = askedAtMs;
    this.answered = true;
    return true;
  }

  /** Skips most of a long log. What it lacks, or all if it can't be read, comes from the log. */
  private async readCondensedLog(head: number): Promise<void> {
    const { store, condensedFrom = SCAN_LIMIT } = this.options;
    if (head - this.state.snapshot.revision <= condensedFrom) return;
    const condensed = await readCondensed(store, this.readTimeoutMs);
    if (condensed.ok && condensed.value) this.take({ after: 0, changes: condensed.value });
  }

  private async pollPeers(): Promise<void> {
    const { peers, logger } = this.options;
    const known = await withTimeout(peers(), this.timers, PEER_TIMEOUT_MS).catch(() => []);
    const chosen = this.choose(known);
    await Promise.all(
      chosen.map(async (peer) => {
        const after = this.state.snapshot.revision;
        try {
          const { changes } = await withTimeout(peer.since(after), this.timers, PEER_TIMEOUT_MS);
          this.take({ after, changes });
        } catch (error) {
          logger.debug('peer gave no configuration', { reason: String(error) });
        }
      }),
    );
  }

  private choose(peers: readonly ConfigurationPeer[]): ConfigurationPeer[] {
    const rest = [...peers];
    const chosen: ConfigurationPeer[] = [];
    while (rest.length > 0 && chosen.length < PEERS_ASKED) {
      const position = Math.floor(this.options.random.next() * rest.length);
      chosen.push(...rest.splice(position, 1));
    }
    return chosen;
  }

  /** @returns false if changes before the batch are missing. */
  private take(batch: ChangeBatch): boolean {
    const outcome = this.state.apply(batch);
    if (outcome !== 'applied') return outcome === 'known';
    const { snapshot } = this.state;
    this.learned.push({ revision: snapshot.revision, atMs: this.options.clock.now() });
    if (this.learned.length > LEARNED_LIMIT) this.learned = this.learned.slice(-LEARNED_LIMIT / 2);
    // The store has not yet confirmed the new revision as the newest.
    this.confirmedAtMs = null;
    this.answered = true;
    this.changed.fire(snapshot);
    return true;
  }
}
