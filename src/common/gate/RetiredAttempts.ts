import type { Clock } from '../time/Types.js';
import type { Refusal } from './Types.js';

/** What is kept of an attempt after its result was released. */
export interface RetiredAttempt {
  readonly state: 'finished' | 'failed' | 'voided';
  /** Null if the attempt was voided before it arrived. */
  readonly inputDigest: string | null;
  /** Why it did not run, state `voided` only. */
  readonly refusal?: Refusal;
}

/**
 * Ids of ended attempts. A copy of an attempt that was delayed in the network must not start a second
 * run, and an attempt that was refused or voided must not run later.
 */
export class RetiredAttempts {
  /** In order of expiry, because all have the same time to live. */
  private readonly attempts = new Map<string, { attempt: RetiredAttempt; expiresAt: number }>();

  /**
   * @param clock - monotonic time
   * @param ttlMs - time that an id is kept
   */
  constructor(
    private readonly clock: Clock,
    private readonly ttlMs: number,
  ) {}

  /**
   * @param id - attempt id
   * @param attempt - what to keep
   */
  add(id: string, attempt: RetiredAttempt): void {
    this.attempts.delete(id);
    this.attempts.set(id, { attempt, expiresAt: this.clock.now() + this.ttlMs });
  }

  /** @param id - attempt id */
  get(id: string): RetiredAttempt | undefined {
    return this.attempts.get(id)?.attempt;
  }

  /** @param id - attempt id that is active again */
  delete(id: string): void {
    this.attempts.delete(id);
  }

  /** Drops ids whose time to live is over. */
  expire(): void {
    const now = this.clock.now();
    for (const [id, { expiresAt }] of this.attempts) {
      if (expiresAt > now) return;
      this.attempts.delete(id);
    }
  }
}
