import type { Attempt, AttemptStatus, Load } from '../protocol/Attempt.js';
import type { Acknowledgement } from '../protocol/Control.js';
import type { UsageClass } from '../protocol/Usage.js';
import type { Clock } from '../time/Types.js';
import type { AttemptStream } from './AttemptStream.js';
import { GateEntry } from './GateEntry.js';
import { NON_IDEMPOTENT_GRACE_MS, VOIDED_RETENTION_MS } from './Limits.js';
import {
  ATTEMPT_MISMATCH,
  DRAINING,
  INFEASIBLE,
  MISSING_IDEMPOTENCY_KEY,
  STALE_REVISION,
  VOIDED,
  endedStream,
  failure,
  failureOfRun,
  queueFull,
  outcomeOfClaim,
  refusal,
  successOfReplay,
  successOfRun,
} from './Outcomes.js';
import { AttemptTombstones, type AttemptTombstone } from './AttemptTombstones.js';
import { AttemptScheduler } from './AttemptScheduler.js';
import type {
  ClaimEnd,
  ClaimTarget,
  GateEffect,
  GateOptions,
  Outcome,
  Refusal,
  RunEnd,
} from './Types.js';

/**
 * State machine of all attempts of one backend server: admission, queueing, claims, runs, and
 * retention of outcomes. It performs no I/O: methods change the state and record effects, which the
 * owner fetches with {@link Gate.takeEffects} and executes. All calls come from one actor.
 */
export class Gate {
  private readonly entries = new Map<string, GateEntry>();

  private readonly tombstones: AttemptTombstones;

  private readonly scheduler: AttemptScheduler;

  private effects: GateEffect[] = [];

  private isDraining = false;

  /**
   * @param options - slots, queue bound, retention
   * @param clock - monotonic time
   */
  constructor(
    private readonly options: GateOptions,
    private readonly clock: Clock,
  ) {
    this.tombstones = new AttemptTombstones(clock, options.retentionMs, VOIDED_RETENTION_MS);
    this.scheduler = new AttemptScheduler(options.slots, clock);
  }

  /** Number of attempts that have not ended or whose outcome or claim is retained. */
  get size(): number {
    return this.entries.size;
  }

  /** Number of attempts that wait, claim or run. */
  get active(): number {
    return this.scheduler.size;
  }

  /** @returns effects queued since the last call of this method, in order */
  takeEffects(): GateEffect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /**
   * Admits or refuses a new attempt, or joins the submission to the known attempt of the same id.
   * @param attempt - attempt as received
   * @param inputDigest - digest of operation and input
   * @param isStale - true if the sender's configuration is too old for new work
   * @returns output stream of the attempt; ended already if the attempt was refused
   */
  submit(attempt: Attempt, inputDigest: string, isStale: boolean): AttemptStream {
    const known = this.entries.get(attempt.attemptId);
    if (known) return this.join(known, attempt, inputDigest);
    const tombstone = this.tombstones.get(attempt.attemptId);
    if (tombstone) return this.joinTombstone(tombstone, attempt, inputDigest);
    const entry = this.createEntry(attempt, inputDigest);
    const reason = this.checkAdmission(entry, isStale);
    this.entries.set(entry.id, entry);
    if (reason) {
      this.refuse(entry, reason);
    } else {
      this.scheduler.enqueue(entry);
      this.dispatch();
    }
    return entry.stream;
  }

  /**
   * Called when a `claim` effect has ended.
   * @param entry - attempt of the effect
   * @param end - how the claim request ended
   */
  claimEnded(entry: GateEntry, end: ClaimEnd): void {
    const isHeld = end.kind === 'acquired' || (end.kind === 'unavailable' && end.mayExist);
    const isReady = end.kind === 'acquired' && !entry.ended;
    this.scheduler.endClaim(entry, isReady);
    entry.endClaim(this.clock.now(), isHeld);
    if (isReady) {
      entry.markReady();
    } else {
      if (end.kind !== 'acquired' && !entry.ended) this.endWithoutClaim(entry, end);
      this.settle(entry, 'void');
    }
    this.removeIfReleased(entry);
    this.dispatch();
  }

  /**
   * Called when a `replay` effect has ended.
   * @param entry - attempt of the effect
   * @param output - stored output, or null if it could not be read
   */
  replayEnded(entry: GateEntry, output: string | null): void {
    if (output === null) {
      this.end(entry, 'failed', failure('unknown', 'the stored result could not be read'));
    } else {
      this.end(entry, 'finished', successOfReplay(output));
    }
  }

  /**
   * Called when a `run` effect has ended.
   * @param entry - attempt of the effect
   * @param end - how the run ended
   */
  runEnded(entry: GateEntry, end: RunEnd): void {
    const now = this.clock.now();
    const serviceMs = now - (entry.startedAt ?? now);
    this.scheduler.endRun(entry, end.kind === 'done' ? serviceMs : null);
    entry.endRun(now);
    if (end.kind === 'done') {
      this.end(entry, 'finished', successOfRun(entry, end));
      this.settle(entry, 'done');
    } else if (end.kind === 'unreachable' && !entry.attempt.idempotent) {
      this.refuse(entry, refusal('backend-unavailable', end.message));
      this.settle(entry, 'void');
    } else {
      this.end(entry, 'failed', failureOfRun(end));
      this.settle(entry, 'unknown');
      this.meter(entry, 'overhead');
    }
    this.dispatch();
  }

  /**
   * Called when a `settle-claim` effect has ended: the row is final or another holder owns it.
   * @param entry - attempt of the effect
   */
  claimSettled(entry: GateEntry): void {
    entry.closeClaim();
    this.removeIfReleased(entry);
  }

  /**
   * Ensures that an attempt that has not been handed to the backend server never will be, including
   * an attempt that has not been received yet.
   * @param attemptId - attempt
   * @returns state after the call
   */
  voidAttempt(attemptId: string): AttemptStatus['state'] {
    const entry = this.entries.get(attemptId);
    if (!entry) {
      const tombstone = this.tombstones.get(attemptId);
      if (tombstone) return tombstone.state;
      this.tombstones.add(attemptId, { state: 'voided', inputDigest: null, refusal: VOIDED });
      return 'voided';
    }
    if (!entry.ended && entry.state !== 'running') this.withdraw(entry, VOIDED);
    return entry.status;
  }

  /**
   * Cancels an attempt. A non-idempotent run continues.
   * @param attemptId - attempt
   * @returns state after the call; `running` until the backend call has ended
   */
  cancel(attemptId: string): AttemptStatus['state'] {
    const entry = this.entries.get(attemptId);
    if (entry?.state === 'running' && entry.attempt.idempotent) this.abort(entry, 'cancelled');
    return this.voidAttempt(attemptId);
  }

  /**
   * @param attemptId - attempt
   * @returns its state; `unknown` if it was never received or its record has expired
   */
  status(attemptId: string): AttemptStatus['state'] {
    const entry = this.entries.get(attemptId);
    if (entry) return entry.status;
    return this.tombstones.get(attemptId)?.state ?? 'unknown';
  }

  /**
   * Counts the usage of an ended attempt and releases its outcome.
   * @param acknowledgement - attempt and whether its result was used
   */
  acknowledge({ attemptId, won }: Acknowledgement): void {
    const entry = this.entries.get(attemptId);
    if (!entry?.ended) return;
    this.meter(entry, won && entry.state === 'finished' ? 'useful' : 'overhead');
    entry.acknowledge();
    this.removeIfReleased(entry);
  }

  /** Refuses attempts that can no longer finish in time and aborts runs past their deadline. */
  checkDeadlines(): void {
    const now = this.clock.now();
    for (const entry of this.scheduler.notHandedOver()) {
      if (!this.isFeasible(entry)) this.withdraw(entry, INFEASIBLE);
    }
    for (const entry of this.scheduler.runs()) {
      const graceMs = entry.attempt.idempotent ? 0 : NON_IDEMPOTENT_GRACE_MS;
      if (now > entry.deadline + graceMs) this.abort(entry, 'deadline passed');
    }
    this.dispatch();
  }

  /** Deletes outcomes that were not acknowledged within the retention time, and expired ids. */
  expireRetained(): void {
    const expiredBefore = this.clock.now() - this.options.retentionMs;
    for (const entry of this.entries.values()) {
      if (entry.ended && (entry.endedAt ?? 0) <= expiredBefore && !entry.isClaimOpen) {
        this.meter(entry, 'overhead');
        this.replaceByTombstone(entry);
      }
    }
    this.tombstones.expire();
  }

  /** Counts the usage of all unacknowledged outcomes. Called before the process exits. */
  meterUnacknowledged(): void {
    for (const entry of this.entries.values()) {
      if (entry.ended) this.meter(entry, 'overhead');
    }
  }

  /**
   * Refuses new attempts and those not yet handed to the backend server; running ones finish.
   * Waiting attempts are refused too, because the drain has to take effect within a time limit.
   */
  drain(): void {
    this.isDraining = true;
    for (const entry of this.scheduler.notHandedOver()) {
      this.withdraw(entry, DRAINING);
    }
  }

  /** Accepts new attempts again after {@link drain}. */
  resume(): void {
    this.isDraining = false;
  }

  /** @returns load as reported in frames */
  load(): Load {
    return this.scheduler.load(this.isDraining);
  }

  private join(entry: GateEntry, attempt: Attempt, inputDigest: string): AttemptStream {
    if (!entry.matches(attempt, inputDigest)) return endedStream(ATTEMPT_MISMATCH);
    if (!entry.ended) this.scheduler.adjustDeadline(entry, attempt);
    return entry.stream;
  }

  private joinTombstone(
    tombstone: AttemptTombstone,
    attempt: Attempt,
    inputDigest: string,
  ): AttemptStream {
    if (tombstone.inputDigest !== null && tombstone.inputDigest !== inputDigest) {
      return endedStream(ATTEMPT_MISMATCH);
    }
    if (tombstone.refusal) return endedStream(tombstone.refusal);
    if (attempt.idempotent) {
      return endedStream(failure('ran', 'the result was acknowledged and released'));
    }
    const entry = this.createEntry(attempt, inputDigest);
    this.tombstones.delete(entry.id);
    this.entries.set(entry.id, entry);
    entry.beginReplay();
    this.effects.push({ kind: 'replay', entry });
    return entry.stream;
  }

  private createEntry(attempt: Attempt, inputDigest: string): GateEntry {
    const expectedMs = this.scheduler.expectedMs(attempt);
    return new GateEntry(attempt, inputDigest, this.clock.now(), expectedMs);
  }

  private checkAdmission(entry: GateEntry, isStale: boolean): Refusal | null {
    const { attempt } = entry;
    if (!attempt.idempotent && attempt.idempotencyKey === undefined) return MISSING_IDEMPOTENCY_KEY;
    if (this.isDraining) return DRAINING;
    if (isStale) return STALE_REVISION;
    if (this.scheduler.waiting >= this.options.maxWaiting && !this.displaceFor(attempt)) {
      return queueFull(this.load().waitMs);
    }
    return this.isFeasible(entry, this.scheduler.expectedWaitMs(entry)) ? null : INFEASIBLE;
  }

  /** @returns true if a waiting attempt of an account that exceeds its share was refused instead */
  private displaceFor(attempt: Attempt): boolean {
    const displaced = this.scheduler.findDisplaceable(attempt);
    if (displaced) this.withdraw(displaced, queueFull(this.load().waitMs));
    return displaced !== undefined;
  }

  private isFeasible(entry: GateEntry, waitMs = 0): boolean {
    return this.clock.now() + waitMs + this.scheduler.optimisticMs(entry.attempt) < entry.deadline;
  }

  /** Starts attempts, or requests their claims, while slots are free. */
  private dispatch(): void {
    for (let entry = this.scheduler.next(); entry; entry = this.scheduler.next()) {
      entry.leaveQueue(this.clock.now());
      if (!this.isFeasible(entry)) this.withdraw(entry, INFEASIBLE);
      else if (entry.attempt.idempotent || entry.state === 'ready') this.start(entry);
      else this.startClaim(entry);
    }
  }

  private start(entry: GateEntry): void {
    this.scheduler.beginRun(entry);
    entry.beginRun(this.clock.now());
    this.effects.push({ kind: 'run', entry });
  }

  private startClaim(entry: GateEntry): void {
    this.scheduler.beginClaim(entry);
    entry.beginClaim();
    this.effects.push({ kind: 'claim', entry });
  }

  /** Refuses an attempt that was not handed over. A pending claim request is settled when it ends. */
  private withdraw(entry: GateEntry, reason: Refusal): void {
    const isClaimed = this.scheduler.withdraw(entry);
    this.refuse(entry, reason);
    if (isClaimed) this.settle(entry, 'void');
  }

  private endWithoutClaim(entry: GateEntry, end: Exclude<ClaimEnd, { kind: 'acquired' }>): void {
    const outcome = outcomeOfClaim(end);
    if (outcome.type === 'refused') this.refuse(entry, outcome);
    else this.end(entry, outcome.type === 'result' ? 'finished' : 'failed', outcome);
  }

  private refuse(entry: GateEntry, reason: Refusal): void {
    this.end(entry, 'voided', reason);
    this.removeIfReleased(entry);
  }

  private end(entry: GateEntry, state: 'finished' | 'failed' | 'voided', outcome: Outcome): void {
    entry.end(this.clock.now(), state, outcome);
    this.effects.push({ kind: 'ended', entry });
  }

  private settle(entry: GateEntry, target: ClaimTarget): void {
    if (entry.isClaimOpen) this.effects.push({ kind: 'settle-claim', entry, target });
  }

  private abort(entry: GateEntry, reason: string): void {
    if (entry.markAbortRequested()) this.effects.push({ kind: 'abort', entry, reason });
  }

  private meter(entry: GateEntry, usageClass: UsageClass): void {
    if (entry.markMetered()) this.effects.push({ kind: 'meter', entry, usageClass });
  }

  private removeIfReleased(entry: GateEntry): void {
    if (entry.released) this.replaceByTombstone(entry);
  }

  private replaceByTombstone(entry: GateEntry): void {
    const { outcome } = entry.stream;
    this.entries.delete(entry.id);
    this.tombstones.add(
      entry.id,
      outcome?.type === 'refused'
        ? { state: 'voided', inputDigest: null, refusal: outcome }
        : { state: entry.state as AttemptTombstone['state'], inputDigest: entry.inputDigest },
    );
  }
}
