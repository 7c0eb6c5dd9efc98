import type { Clock } from '../time/Types.js';
import type { Refusal } from './Types.js';

/** What is kept of an attempt after its result was released. */
export interface RetiredAttempt {
  readonly state: 'finished' | 'failed' | 'voided';
  /** Null in state `voided`: such an attempt is refused whatever its input is. */
  readonly inputDigest: string | null;
  /** Why it did not run, state `voided` only. */
  readonly refusal?: Refusal;
}

/** An id and when it may be forgotten. */
interface Expiring {
  readonly attempt: RetiredAttempt;
  readonly expiresAt: number;
}

/**
 * Ids of ended attempts. A copy of an attempt that was delayed in the network must not start a second
 * run, and an attempt that was refused or voided must not run later.
 */
export class RetiredAttempts {
  /** Each map is in order of expiry, because all its ids have the same time to live. */
  private readonly ended = new Map<string, Expiring>();

  private readonly voided = new Map<string, Expiring>();

  /**
   * @param clock - monotonic time
   * @param ttlMs - time that the id of an attempt that ran is kept
   * @param voidedTtlMs - time that the id of an attempt that did not run is kept
   */
  constructor(
    private readonly clock: Clock,
    private readonly ttlMs: number,
    private readonly voidedTtlMs: number,
  ) {}

  /**
   * @param id - attempt id
   * @param attempt - what to keep
   */
  add(id: string, attempt: RetiredAttempt): void {
    this.delete(id);
    const isVoided = attempt.state === 'voided';
    const expiresAt = this.clock.now() + (isVoided ? this.voidedTtlMs : this.ttlMs);
    (isVoided ? this.voided : this.ended).set(id, { attempt, expiresAt });
  }

  /** @param id - attempt id */
  get(id: string): RetiredAttempt | undefined {
    return (this.voided.get(id) ?? this.ended.get(id))?.attempt;
  }

  /** @param id - attempt id that is active again */
  delete(id: string): void {
    this.voided.delete(id);
    this.ended.delete(id);
  }

  /** Drops ids whose time to live is over. */
  expire(): void {
    const now = this.clock.now();
    for (const attempts of [this.voided, this.ended]) {
      for (const [id, { expiresAt }] of attempts) {
        if (expiresAt > now) break;
        attempts.delete(id);
      }
    }
  }
}
