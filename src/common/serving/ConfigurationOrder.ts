/** Decides which configuration is the newest when the store may have been restored from a copy. */
import {
  isSameContent,
  isSameRow,
  type ConfigurationHistory,
  type ConfigurationIdentity,
  type ConfigurationState,
  type OfferedConfiguration,
} from './ConfigurationState.js';
import { isLaterPosition, UNKNOWN_POSITION } from './StorePosition.js';

/**
 * Time for which a configuration with a low number must remain the store's before it is in force, in
 * ms. After a restore, an operator may write earlier ones again first.
 */
const SETTLE_MS = 500;

/** Maximum number of configurations that are remembered; the oldest go first. */
const MAX_KNOWN = 64;

/** Maximum number of peers' configurations that are remembered as refused; the oldest go first. */
const MAX_REFUSED = 16;

/** Configuration in the store, as this process has read it. */
interface StoredConfiguration extends ConfigurationIdentity {
  /** Whether it is known, and not only presumed, to be older than the restore. */
  isLeftover: boolean;
}

interface PendingConfiguration extends ConfigurationIdentity {
  /** On the clock, in ms. */
  readonly since: number;
}

interface KnownConfiguration {
  /** Era of the first read. */
  readonly era: number;
  /** -1 if only a peer of an older version knows it. */
  readonly version: number;
}

/** Origin of the configuration of a peer of an older version. */
const UNKNOWN_ORIGIN = { position: UNKNOWN_POSITION, isWritten: false };

/** Effect of a configuration that was read from the store. */
export type StoredOutcome = 'in-force' | 'known' | 'older' | 'leftover' | 'pending';

/** Outcomes that show in which era a configuration was written at the latest. */
const REMEMBERED_OUTCOMES = new Set<StoredOutcome>(['in-force', 'known', 'older']);

/**
 * Orders the configurations that a process reads from the store and copies from its peers.
 *
 * A configuration gives way only to one that the store held at a later position than the one this
 * process has read itself, and never to a leftover of the time before a restore.
 *
 * Which one is a leftover follows from its content, its number and its position: it was in force
 * before the restore, or its number is from before the time that this process and its peers remember,
 * and nothing shows that it was written since. See docs/decisions/0007-order-of-configurations.md.
 */
export class ConfigurationOrder {
  private current: ConfigurationIdentity | undefined;

  private stored: StoredConfiguration | undefined;

  private pending: PendingConfiguration | undefined;

  /** Earliest row of the newest era that this process or a peer has read. */
  private eraStart = UNKNOWN_POSITION;

  private readonly known = new Map<number, KnownConfiguration>();

  /** Configurations of peers that are not copied again. */
  private readonly refused = new Set<string>();

  /** State for the peers; undefined before the first configuration. */
  get state(): ConfigurationState | undefined {
    if (!this.current) return undefined;
    const inForce = { ...this.current, isWritten: this.isWritten(this.current) };
    return { inForce, ...(this.stored && { stored: { ...this.stored } }) };
  }

  /** What this process knows, for its peers; undefined before the first configuration. */
  get history(): ConfigurationHistory | undefined {
    const { state } = this;
    if (!state) return undefined;
    return {
      version: state.inForce.version,
      state,
      known: [...this.known].map(([digest, { era }]): [number, number] => [digest, era]),
      knownVersions: [...this.known.values()].map(({ version }) => version),
    };
  }

  /**
   * Ranks a configuration that was read from the store.
   * @param offered - configuration that the store holds
   * @param now - time, on the clock, in ms
   * @returns whether it is in force from now on; `pending` until {@link settle} confirms it
   */
  offer(offered: OfferedConfiguration, now: number): StoredOutcome {
    const { position, digest, version } = offered;
    if (this.stored?.isLeftover && isSameRow(this.stored, offered)) return 'leftover';
    if (this.stored?.position.era !== position.era) this.eraStart = position;
    const identity = { ...offered, isWritten: this.isWritten({ ...offered, isWritten: false }) };
    const since = this.pending?.digest === digest ? this.pending.since : now;
    this.pending = undefined;
    this.refused.clear();
    const outcome = this.outcomeOf(identity);
    const isLeftover = outcome === 'leftover' && this.isOlder(identity, this.current!);
    this.stored = { ...identity, isLeftover };
    if (outcome === 'pending') this.pending = { ...identity, since };
    // One that is only pending may be lost with the next restore, and then be written again.
    if (REMEMBERED_OUTCOMES.has(outcome)) this.remember(digest, { era: position.era, version });
    if (outcome === 'in-force') this.current = identity;
    if (outcome === 'known') this.confirm(identity);
    return outcome;
  }

  /** Time after which the store should be read again to {@link settle}, in ms. */
  get recheckMs(): number {
    return this.pending ? SETTLE_MS : Infinity;
  }

  /**
   * Puts the pending configuration in force if it has remained the store's for long enough. To be
   * called after a response of the store: a process that is cut off doesn't know whether it has.
   * @param now - time, on the clock, in ms
   * @returns whether it is in force from now on
   */
  settle(now: number): boolean {
    if (!this.pending || !this.hasSettled(this.pending, now)) return false;
    const { version, digest, position, isWritten } = this.pending;
    const isOlder = this.isOlder(this.pending, this.current!);
    this.pending = undefined;
    if (isOlder) return false;
    this.remember(digest, { era: position.era, version });
    this.current = { version, digest, position, isWritten };
    return true;
  }

  /**
   * Learns from the heartbeat of a peer what this process can't tell alone.
   * @param peer - state of the peer
   * @param now - time, on the clock, in ms
   */
  observe({ inForce, stored }: ConfigurationState, now: number): void {
    [inForce, stored].forEach((row) => row && this.noteRow(row));
    if (this.current && isSameContent(inForce, this.current)) this.confirm(inForce);
    this.reconsiderStored(now);
    const isJudged = stored?.isLeftover === true && this.stored && isSameRow(stored, this.stored);
    if (!isJudged || !this.isDoubtful) return;
    this.stored!.isLeftover = true;
    this.pending = undefined;
    this.refused.clear();
    // It was written in an earlier era, the latest possible one is assumed.
    this.remember(stored.digest, { era: stored.position.era - 1, version: stored.version });
  }

  /**
   * @param version - number of a peer's configuration in force
   * @param peer - state of the peer; undefined for one of an older version
   * @returns whether to copy the configuration and the history of the peer
   */
  isBehind(version: number, peer: ConfigurationState | undefined): boolean {
    if (!this.current) return version >= 0;
    if (!peer) return version > this.current.version && !this.refused.has(nameOf(version));
    const { inForce } = peer;
    if (isSameContent(inForce, this.current)) return false;
    const isLater = isLaterPosition(inForce.position, this.current.position);
    const isCandidate = isLater || version > this.current.version || this.isSuccessor(inForce);
    return isCandidate && !this.refused.has(nameOf(inForce));
  }

  /**
   * Adds what a peer knows, and ranks its configuration.
   * @param history - what the peer knows
   * @param digest - digest of the peer's configuration
   * @param now - time, on the clock, in ms
   * @returns whether the peer's configuration is in force from now on
   */
  merge(history: ConfigurationHistory, digest: number, now: number): boolean {
    const { version, state, knownVersions } = history;
    history.known.forEach(([knownDigest, era], index) =>
      this.remember(knownDigest, { era, version: knownVersions[index] ?? -1 }),
    );
    if (state) this.observe(state, now);
    const { position, isWritten } = state?.inForce ?? UNKNOWN_ORIGIN;
    const offered = { version, digest, position, isWritten };
    if (this.isPreferred(offered, state !== undefined, now)) {
      this.current = offered;
      this.remember(digest, { era: offered.position.era, version });
      if (this.pending && isLaterPosition(offered.position, this.pending.position)) {
        this.pending = undefined;
      }
      this.reconsiderStored(now);
      return true;
    }
    this.reconsiderStored(now);
    if (this.pending && isSameRow(this.pending, offered)) return false;
    this.refused.add(nameOf(state ? offered : version));
    if (this.refused.size > MAX_REFUSED) this.refused.delete(this.refused.values().next().value!);
    return false;
  }

  private outcomeOf(offered: ConfigurationIdentity): StoredOutcome {
    const { current } = this;
    if (!current) return 'in-force';
    if (offered.digest === current.digest) return 'known';
    const isHigher = offered.version > current.version;
    if (isHigher && offered.isWritten) return 'in-force';
    if (this.isLeftover(offered)) return 'leftover';
    if (isHigher) return 'in-force';
    return this.isInOrder(offered) ? 'pending' : 'older';
  }

  /** Judges the configuration that was read last by what was learned since. */
  private reconsiderStored(now: number): void {
    const { current, stored, pending } = this;
    if (!current || !stored || stored.isLeftover) return;
    if (stored.digest !== current.digest && this.isOlder(stored, current)) {
      stored.isLeftover = true;
      this.pending = undefined;
    } else if (!pending) {
      const outcome = this.outcomeOf(stored);
      const isEffective = outcome === 'pending' || outcome === 'in-force';
      if (isEffective) this.pending = { ...stored, since: now };
    }
  }

  /** Whether a peer's configuration is in force from now on. */
  private isPreferred(offered: ConfigurationIdentity, hasPosition: boolean, now: number): boolean {
    const { current, stored } = this;
    if (!current) return true;
    if (offered.digest === current.digest) return false;
    const isHigher = offered.version > current.version;
    if (!hasPosition) return isHigher;
    if (this.isSuccessor(offered)) return true;
    if (offered.position.era === current.position.era) return this.isInOrder(offered);
    if (!isLaterPosition(offered.position, current.position)) return false;
    if (stored?.position.era === offered.position.era) {
      const isNews =
        isLaterPosition(offered.position, stored.position) || this.hasSettled(offered, now);
      if (!isNews) return false;
    }
    return isHigher || !this.isLeftover(offered);
  }

  /** Whether it is the pending one, which was read long enough ago. */
  private hasSettled(offered: ConfigurationIdentity, now: number): boolean {
    const { pending } = this;
    return pending !== undefined && isSameRow(pending, offered) && now - pending.since >= SETTLE_MS;
  }

  /** Whether the configuration in force is a leftover of the time before the offered one. */
  private isSuccessor(offered: ConfigurationIdentity): boolean {
    const current = this.current!;
    if (this.isTold(current)) return !this.isOlder(offered, current);
    if (this.isWritten(current)) return false;
    if (this.isPresumedLeftover(current, offered)) return true;
    return this.isOlder(current, offered) && !this.isLeftover(offered);
  }

  /**
   * Whether a configuration follows the one in force if both were read in the same era. Numbers
   * increase among those that were written in it.
   */
  private isInOrder(offered: ConfigurationIdentity): boolean {
    const current = this.current!;
    if (offered.position.era !== current.position.era) return true;
    const isLater = isLaterPosition(offered.position, current.position);
    const earlier = isLater ? current : offered;
    if (!this.isWritten(earlier)) return isLater;
    return isLater ? offered.version >= current.version : offered.version > current.version;
  }

  /** Whether a configuration was written before the restore that began the era of its position. */
  private isLeftover(identity: ConfigurationIdentity, other = this.current!): boolean {
    if (this.isTold(identity) || this.isOlder(identity, other)) return true;
    return this.isPresumedLeftover(identity, other);
  }

  /** Whether a peer knows that its row is older than the restore. */
  private isTold(identity: ConfigurationIdentity): boolean {
    return this.stored !== undefined && this.stored.isLeftover && isSameRow(this.stored, identity);
  }

  /** Whether its number is lower than all that are remembered from before the restore. */
  private isPresumedLeftover(
    identity: ConfigurationIdentity,
    other: ConfigurationIdentity,
  ): boolean {
    if (this.isWritten(identity) || identity.version >= other.version) return false;
    return identity.version < this.horizonBefore(identity.position.era);
  }

  /** Whether a configuration is known from another era and came before the other one. */
  private isOlder(identity: ConfigurationIdentity, other: ConfigurationIdentity): boolean {
    const known = this.known.get(identity.digest);
    if (!known || known.era === identity.position.era) return false;
    const otherEra = this.firstEraOf(other);
    return known.era === otherEra ? identity.version < other.version : known.era < otherEra;
  }

  /** Whether the last configuration read may be a leftover, as far as this process knows. */
  private get isDoubtful(): boolean {
    const { stored, current } = this;
    if (!stored || stored.isLeftover) return false;
    return this.pending !== undefined || stored.digest === current?.digest;
  }

  /** @returns era in which a process has read the content first */
  private firstEraOf({ digest, position }: ConfigurationIdentity): number {
    return Math.min(position.era, this.known.get(digest)?.era ?? position.era);
  }

  /** Records that the store held the configuration in force at a position. */
  private confirm({ position, isWritten }: ConfigurationIdentity): void {
    const current = this.current!;
    if (isLaterPosition(position, current.position)) {
      this.current = { ...current, position, isWritten };
    } else if (isWritten && position.era === current.position.era) {
      this.current = { ...current, isWritten };
    }
  }

  /** Learns from a row that a peer has read which rows were written in the present era. */
  private noteRow(row: ConfigurationIdentity): void {
    const { era, version } = this.eraStart;
    const { position, isWritten } = row;
    if (position.era === era && position.version < version) this.eraStart = position;
    if (isWritten && this.stored && isSameRow(row, this.stored)) this.stored.isWritten = true;
  }

  /** Whether a configuration is known to have been written in the era of its position. */
  private isWritten({ position, isWritten }: ConfigurationIdentity): boolean {
    const { era, version } = this.eraStart;
    return isWritten || (position.era === era && position.version > version);
  }

  /**
   * @returns lowest number of the earliest era that is remembered, if that is before the given one;
   *   later numbers have been read if they lasted; -1 if none is known
   */
  private horizonBefore(era: number): number {
    const known = [...this.known.values()];
    const earliest = Math.min(...known.map((entry) => entry.era));
    if (earliest >= era) return -1;
    const versions = known.filter((entry) => entry.era === earliest).map(({ version }) => version);
    return Math.min(...versions);
  }

  private remember(digest: number, { era, version }: KnownConfiguration): void {
    const known = this.known.get(digest);
    const updated = {
      era: Math.min(era, known?.era ?? era),
      version: Math.max(version, known?.version ?? version),
    };
    if (known?.era === updated.era && known.version === updated.version) return;
    this.known.set(digest, updated);
    this.refused.clear();
    if (this.known.size > MAX_KNOWN) this.known.delete(this.known.keys().next().value!);
  }
}

function nameOf(offered: OfferedConfiguration | number): string {
  if (typeof offered === 'number') return String(offered);
  const { version, digest, position } = offered;
  return [version, digest, position.era, position.version].join();
}
