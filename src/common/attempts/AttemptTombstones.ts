import type { Clock } from '../time/Types.js';
import type { Refusal } from './Types.js';

/** Record that remains of an attempt after its outcome was released. */
export interface AttemptTombstone {
  readonly state: 'finished' | 'failed' | 'voided';
  /** Null in state `voided`: such an attempt is refused whatever its input is. */
  readonly inputDigest: string | null;
  /** Why the attempt did not run; state `voided` only. */
  readonly refusal?: Refusal;
}

/** A record and the time at which it expires, in monotonic milliseconds. */
interface ExpiringTombstone {
  readonly tombstone: AttemptTombstone;
  readonly expiresAt: number;
}

/**
 * Tombstones of ended attempts by attempt id. They prevent a copy of an attempt that was delayed in
 * the network from starting a second run, and a refused or voided attempt from running later.
 */
export class AttemptTombstones {
  /** Both maps are in order of expiry, because all ids of a map have the same time to live. */
  private readonly ended = new Map<string, ExpiringTombstone>();

  private readonly voided = new Map<string, ExpiringTombstone>();

  /**
   * @param clock - monotonic time
   * @param ttlMs - time to live of ids of attempts that ran, in milliseconds
   * @param voidedTtlMs - time to live of ids of attempts that did not run, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly ttlMs: number,
    private readonly voidedTtlMs: number,
  ) {}

  /**
   * Adds the tombstone of an attempt, or replaces it and restarts its time to live.
   * @param id - attempt id
   * @param tombstone - record to keep
   */
  add(id: string, tombstone: AttemptTombstone): void {
    this.delete(id);
    const isVoided = tombstone.state === 'voided';
    const expiresAt = this.clock.now() + (isVoided ? this.voidedTtlMs : this.ttlMs);
    (isVoided ? this.voided : this.ended).set(id, { tombstone, expiresAt });
  }

  /**
   * @param id - attempt id
   * @returns the tombstone, or undefined if there is none
   */
  get(id: string): AttemptTombstone | undefined {
    return (this.voided.get(id) ?? this.ended.get(id))?.tombstone;
  }

  /**
   * Deletes a tombstone.
   * @param id - id of an attempt that is active again
   */
  delete(id: string): void {
    this.voided.delete(id);
    this.ended.delete(id);
  }

  /** Deletes expired ids. */
  expire(): void {
    const now = this.clock.now();
    for (const tombstones of [this.voided, this.ended]) {
      for (const [id, { expiresAt }] of tombstones) {
        if (expiresAt > now) break;
        tombstones.delete(id);
      }
    }
  }
}
