/** Decides which configuration is the newest when the store may have been restored from a copy. */
import { z } from 'zod';

/**
 * Time for which a configuration with a number that was given out before must remain the store's
 * before it is in force, in ms. After a restore, an operator may write earlier ones again first.
 */
const SETTLE_MS = 500;

/** Maximum number of configurations that are remembered; the oldest go first. */
const MAX_KNOWN = 64;

/** Identity and rank of a configuration. */
export const ConfigurationRank = z.object({
  /**
   * Era in which a number was given out again that had been in force with other content; such a
   * configuration is newer than all of lower generations. 0 for none.
   */
  generation: z.number(),
  /** Number that the operator gave it. */
  version: z.number(),
});
export type ConfigurationRank = z.infer<typeof ConfigurationRank>;

/** A configuration as the store holds it. */
export interface StoredConfiguration {
  readonly version: number;
  /** Digest of the content. */
  readonly digest: number;
  /** Era of the store that it was read in. */
  readonly era: number;
}

/** What a process knows about the order of configurations; sent to its peers. */
export interface ConfigurationHistory extends ConfigurationRank {
  /** Latest era in which the configuration in force was read; 0 for none. */
  readonly era: number;
  /** Digests of the configurations that were read, with the era of the first read. */
  readonly known: [digest: number, era: number][];
}

interface PendingConfiguration extends StoredConfiguration {
  /** On the clock, in ms. */
  readonly since: number;
}

/** @returns whether `left` is newer than `right` */
export function isNewerConfiguration(left: ConfigurationRank, right: ConfigurationRank): boolean {
  if (left.generation !== right.generation) return left.generation > right.generation;
  return left.version > right.version;
}

/**
 * Orders the configurations that a process reads from the store and copies from its peers.
 *
 * Usually the number of a configuration decides. A restored store holds an earlier one for a while,
 * which must not be in force again, and the operator may then give a number out again, which must be
 * in force. Both have a low number; the content tells them apart: the earlier one is known from
 * before the restore.
 */
export class ConfigurationOrder {
  private current: (ConfigurationRank & { digest: number; era: number }) | undefined;

  private readonly known = new Map<number, number>();

  private pending: PendingConfiguration | undefined;

  /** Rank of the configuration in force. */
  get rank(): ConfigurationRank {
    const { generation = 0, version = -1 } = this.current ?? {};
    return { generation, version };
  }

  /** What this process knows, for its peers. */
  get history(): ConfigurationHistory {
    const { generation, version } = this.rank;
    return { generation, version, era: this.current?.era ?? 0, known: [...this.known] };
  }

  /**
   * Ranks a configuration that was read from the store.
   * @param offered - configuration that the store holds
   * @param now - time, on the clock, in ms
   * @returns whether it is in force from now on; `pending` until {@link settle} confirms it
   */
  offer(offered: StoredConfiguration, now: number): 'in-force' | 'known' | 'older' | 'pending' {
    const { version, digest, era } = offered;
    const isLeftover = (this.known.get(digest) ?? era) < era;
    const pending = this.pending?.digest === digest ? this.pending : undefined;
    this.pending = undefined;
    const isUnderstood =
      !this.current || version > this.current.version || era <= this.current.era || isLeftover;
    // One that is only pending may be lost with the next restore, and then be written again.
    if (isUnderstood) this.remember(digest, era);
    if (!this.current || version > this.current.version) {
      this.current = { generation: this.rank.generation, version, digest, era };
      return 'in-force';
    }
    if (digest === this.current.digest) {
      this.current.era = Math.max(era, this.current.era);
      return 'known';
    }
    if (isUnderstood) return 'older';
    this.pending = pending ?? { ...offered, since: now };
    return 'pending';
  }

  /**
   * Puts the pending configuration in force if it has remained the store's for long enough.
   * @param now - time, on the clock, in ms
   * @returns whether it is in force from now on
   */
  settle(now: number): boolean {
    if (!this.pending || now - this.pending.since < SETTLE_MS) return false;
    const { version, digest, era } = this.pending;
    this.remember(digest, era);
    this.current = { generation: era, version, digest, era };
    this.pending = undefined;
    return true;
  }

  /**
   * Adds what a peer knows, and ranks its configuration.
   * @param history - what the peer knows
   * @param digest - digest of the peer's configuration
   * @returns whether the peer's configuration is in force from now on
   */
  merge({ known, ...peer }: ConfigurationHistory, digest: number): boolean {
    known.forEach(([knownDigest, era]) => this.remember(knownDigest, era));
    if (!isNewerConfiguration(peer, this.rank)) return false;
    this.current = { ...peer, digest };
    if (this.pending && peer.generation >= this.pending.era) this.pending = undefined;
    return true;
  }

  private remember(digest: number, era: number): void {
    this.known.set(digest, Math.min(era, this.known.get(digest) ?? era));
    if (this.known.size > MAX_KNOWN) this.known.delete(this.known.keys().next().value!);
  }
}
