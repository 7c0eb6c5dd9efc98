import type { Attempt, AttemptStatus, Load } from '../protocol/Attempt.js';
import type { Acknowledgement } from '../protocol/Control.js';
import type { UsageClass } from '../protocol/Usage.js';
import type { Clock } from '../time/Types.js';
import type { AttemptOutput } from './AttemptOutput.js';
import { AttemptRecord } from './AttemptRecord.js';
import { NON_IDEMPOTENT_GRACE_MS, VOIDED_RETENTION_MS } from './Limits.js';
import {
  ATTEMPT_MISMATCH,
  DRAINING,
  INFEASIBLE,
  MISSING_IDEMPOTENCY_KEY,
  STALE_REVISION,
  VOIDED,
  endedOutput,
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
  ClaimResult,
  ClaimTarget,
  AttemptEffect,
  AttemptStateMachineOptions,
  AttemptOutcome,
  Refusal,
  RunResult,
} from './Types.js';

/**
 * State machine of all attempts of one backend server: admission, queueing, claims, runs, and
 * retention of outcomes. It performs no I/O: methods change the state and record effects, which the
 * owner fetches with `dequeueEffects` and executes. All calls come from one actor.
 */
export class AttemptStateMachine {
  private readonly records = new Map<string, AttemptRecord>();

  private readonly tombstones: AttemptTombstones;

  private readonly scheduler: AttemptScheduler;

  private effects: AttemptEffect[] = [];

  private isDraining = false;

  /**
   * @param options - slots, queue bound, retention
   * @param clock - monotonic time
   */
  constructor(
    private readonly options: AttemptStateMachineOptions,
    private readonly clock: Clock,
  ) {
    this.tombstones = new AttemptTombstones(clock, options.retentionMs, VOIDED_RETENTION_MS);
    this.scheduler = new AttemptScheduler(options.slots, clock);
  }

  /** Number of attempts that have not ended or whose outcome or claim is retained. */
  get size(): number {
    return this.records.size;
  }

  /** Number of attempts that wait, claim or run. */
  get active(): number {
    return this.scheduler.size;
  }

  /** @returns effects queued since the last call of this method, in order */
  dequeueEffects(): AttemptEffect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  /**
   * Admits or refuses a new attempt, or joins the submission to the known attempt of the same id.
   * @param attempt - attempt as received
   * @param inputDigest - digest of operation and input
   * @param isStale - true if the sender's configuration is too old for new work
   * @returns output of the attempt; ended already if the attempt was refused
   */
  submit(attempt: Attempt, inputDigest: string, isStale: boolean): AttemptOutput {
    const known = this.records.get(attempt.attemptId);
    if (known) return this.join(known, attempt, inputDigest);
    const tombstone = this.tombstones.get(attempt.attemptId);
    if (tombstone) return this.joinTombstone(tombstone, attempt, inputDigest);
    const record = this.createRecord(attempt, inputDigest);
    const reason = this.checkAdmission(record, isStale);
    this.records.set(record.id, record);
    if (reason) {
      this.refuse(record, reason);
    } else {
      this.scheduler.enqueue(record);
      this.dispatch();
    }
    return record.output;
  }

  /**
   * Called when a `claim` effect has ended.
   * @param record - attempt of the effect
   * @param end - how the claim request ended
   */
  claimEnded(record: AttemptRecord, end: ClaimResult): void {
    const isHeld = end.kind === 'acquired' || (end.kind === 'unavailable' && end.mayExist);
    const isReady = end.kind === 'acquired' && !record.ended;
    this.scheduler.endClaim(record, isReady);
    record.endClaim(this.clock.now(), isHeld);
    if (isReady) {
      record.markReady();
    } else {
      if (end.kind !== 'acquired' && !record.ended) this.endWithoutClaim(record, end);
      this.settle(record, 'void');
    }
    this.removeIfReleased(record);
    this.dispatch();
  }

  /**
   * Called when a `replay` effect has ended.
   * @param record - attempt of the effect
   * @param output - stored output, or null if it could not be read
   */
  replayEnded(record: AttemptRecord, output: string | null): void {
    if (output === null) {
      this.end(record, 'failed', failure('unknown', 'the stored result could not be read'));
    } else {
      this.end(record, 'finished', successOfReplay(output));
    }
  }

  /**
   * Called when a `run` effect has ended.
   * @param record - attempt of the effect
   * @param end - how the run ended
   */
  runEnded(record: AttemptRecord, end: RunResult): void {
    const now = this.clock.now();
    const serviceMs = now - (record.startedAt ?? now);
    this.scheduler.endRun(record, end.kind === 'done' ? serviceMs : null);
    record.endRun(now);
    if (end.kind === 'done') {
      this.end(record, 'finished', successOfRun(record, end));
      this.settle(record, 'done');
    } else if (end.kind === 'unreachable' && !record.attempt.idempotent) {
      this.refuse(record, refusal('backend-unavailable', end.message));
      this.settle(record, 'void');
    } else {
      this.end(record, 'failed', failureOfRun(end));
      this.settle(record, 'unknown');
      this.meter(record, 'overhead');
    }
    this.dispatch();
  }

  /** Called when a `settle-claim` effect has ended: the row is final or another holder owns it. */
  claimSettled(record: AttemptRecord): void {
    record.closeClaim();
    this.removeIfReleased(record);
  }

  /**
   * Ensures that an attempt that has not been handed to the backend server never will be, including
   * an attempt that has not been received yet.
   * @returns state after the call
   */
  voidAttempt(attemptId: string): AttemptStatus['state'] {
    const record = this.records.get(attemptId);
    if (!record) {
      const tombstone = this.tombstones.get(attemptId);
      if (tombstone) return tombstone.state;
      this.tombstones.add(attemptId, { state: 'voided', inputDigest: null, refusal: VOIDED });
      return 'voided';
    }
    if (!record.ended && record.state !== 'running') this.withdraw(record, VOIDED);
    return record.status;
  }

  /**
   * Cancels an attempt. A non-idempotent run continues.
   * @returns state after the call; `running` until the backend call has ended
   */
  cancel(attemptId: string): AttemptStatus['state'] {
    const record = this.records.get(attemptId);
    if (record?.state === 'running' && record.attempt.idempotent) this.abort(record, 'cancelled');
    return this.voidAttempt(attemptId);
  }

  /**
   * @returns its state; `unknown` if it was never received or its record has expired
   */
  status(attemptId: string): AttemptStatus['state'] {
    const record = this.records.get(attemptId);
    if (record) return record.status;
    return this.tombstones.get(attemptId)?.state ?? 'unknown';
  }

  /**
   * Counts the usage of an ended attempt and releases its outcome.
   * @param acknowledgement - attempt and whether its result was used
   */
  acknowledge({ attemptId, won }: Acknowledgement): void {
    const record = this.records.get(attemptId);
    if (!record?.ended) return;
    this.meter(record, won && record.state === 'finished' ? 'useful' : 'overhead');
    record.acknowledge();
    this.removeIfReleased(record);
  }

  /** Refuses attempts that can no longer finish in time and aborts runs past their deadline. */
  checkDeadlines(): void {
    const now = this.clock.now();
    for (const record of this.scheduler.notHandedOver()) {
      if (!this.isFeasible(record)) this.withdraw(record, INFEASIBLE);
    }
    for (const record of this.scheduler.runs()) {
      const graceMs = record.attempt.idempotent ? 0 : NON_IDEMPOTENT_GRACE_MS;
      if (now > record.deadline + graceMs) this.abort(record, 'deadline passed');
    }
    this.dispatch();
  }

  /** Deletes outcomes that were not acknowledged within the retention time, and expired ids. */
  expireRetained(): void {
    const expiredBefore = this.clock.now() - this.options.retentionMs;
    for (const record of this.records.values()) {
      if (record.ended && (record.endedAt ?? 0) <= expiredBefore && !record.isClaimOpen) {
        this.meter(record, 'overhead');
        this.replaceByTombstone(record);
      }
    }
    this.tombstones.expire();
  }

  /** Counts the usage of all unacknowledged outcomes. Called before the process exits. */
  meterUnacknowledged(): void {
    for (const record of this.records.values()) {
      if (record.ended) this.meter(record, 'overhead');
    }
  }

  /** Refuses new attempts and, as a drain has a time limit, those not handed over; runs finish. */
  drain(): void {
    this.isDraining = true;
    for (const record of this.scheduler.notHandedOver()) {
      this.withdraw(record, DRAINING);
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

  private join(record: AttemptRecord, attempt: Attempt, inputDigest: string): AttemptOutput {
    if (!record.matches(attempt, inputDigest)) return endedOutput(ATTEMPT_MISMATCH);
    if (!record.ended) this.scheduler.adjustDeadline(record, attempt);
    return record.output;
  }

  private joinTombstone(
    tombstone: AttemptTombstone,
    attempt: Attempt,
    inputDigest: string,
  ): AttemptOutput {
    if (tombstone.inputDigest !== null && tombstone.inputDigest !== inputDigest) {
      return endedOutput(ATTEMPT_MISMATCH);
    }
    if (tombstone.refusal) return endedOutput(tombstone.refusal);
    if (attempt.idempotent) {
      return endedOutput(failure('ran', 'the result was acknowledged and released'));
    }
    const record = this.createRecord(attempt, inputDigest);
    this.tombstones.delete(record.id);
    this.records.set(record.id, record);
    record.beginReplay();
    this.effects.push({ kind: 'replay', record });
    return record.output;
  }

  private createRecord(attempt: Attempt, inputDigest: string): AttemptRecord {
    const expectedMs = this.scheduler.expectedMs(attempt);
    return new AttemptRecord(attempt, inputDigest, this.clock.now(), expectedMs);
  }

  private checkAdmission(record: AttemptRecord, isStale: boolean): Refusal | null {
    const { attempt } = record;
    if (!attempt.idempotent && attempt.idempotencyKey === undefined) return MISSING_IDEMPOTENCY_KEY;
    if (this.isDraining) return DRAINING;
    if (isStale) return STALE_REVISION;
    if (this.scheduler.waiting >= this.options.maxWaiting && !this.displaceFor(attempt)) {
      return queueFull(this.load().waitMs);
    }
    return this.isFeasible(record, this.scheduler.expectedWaitMs(record)) ? null : INFEASIBLE;
  }

  /** @returns true if a waiting attempt of an account that exceeds its share was refused instead */
  private displaceFor(attempt: Attempt): boolean {
    const displaced = this.scheduler.findDisplaceable(attempt);
    if (displaced) this.withdraw(displaced, queueFull(this.load().waitMs));
    return displaced !== undefined;
  }

  private isFeasible(record: AttemptRecord, waitMs = 0): boolean {
    return (
      this.clock.now() + waitMs + this.scheduler.optimisticMs(record.attempt) < record.deadline
    );
  }

  /** Starts attempts, or requests their claims, while slots are free. */
  private dispatch(): void {
    for (let record = this.scheduler.next(); record; record = this.scheduler.next()) {
      record.leaveQueue(this.clock.now());
      if (!this.isFeasible(record)) this.withdraw(record, INFEASIBLE);
      else if (record.attempt.idempotent || record.state === 'ready') this.start(record);
      else this.startClaim(record);
    }
  }

  private start(record: AttemptRecord): void {
    this.scheduler.beginRun(record);
    record.beginRun(this.clock.now());
    this.effects.push({ kind: 'run', record });
  }

  private startClaim(record: AttemptRecord): void {
    this.scheduler.beginClaim(record);
    record.beginClaim();
    this.effects.push({ kind: 'claim', record });
  }

  /** Refuses an attempt that was not handed over. A pending claim request is settled when it ends. */
  private withdraw(record: AttemptRecord, reason: Refusal): void {
    const isClaimed = this.scheduler.withdraw(record);
    this.refuse(record, reason);
    if (isClaimed) this.settle(record, 'void');
  }

  private endWithoutClaim(
    record: AttemptRecord,
    end: Exclude<ClaimResult, { kind: 'acquired' }>,
  ): void {
    const outcome = outcomeOfClaim(end);
    if (outcome.type === 'refused') this.refuse(record, outcome);
    else this.end(record, outcome.type === 'result' ? 'finished' : 'failed', outcome);
  }

  private refuse(record: AttemptRecord, reason: Refusal): void {
    this.end(record, 'voided', reason);
    this.removeIfReleased(record);
  }

  private end(
    record: AttemptRecord,
    state: 'finished' | 'failed' | 'voided',
    outcome: AttemptOutcome,
  ): void {
    record.end(this.clock.now(), state, outcome);
    this.effects.push({ kind: 'ended', record });
  }

  private settle(record: AttemptRecord, target: ClaimTarget): void {
    if (record.isClaimOpen) this.effects.push({ kind: 'settle-claim', record, target });
  }

  private abort(record: AttemptRecord, reason: string): void {
    if (record.markAbortRequested()) this.effects.push({ kind: 'abort', record, reason });
  }

  private meter(record: AttemptRecord, usageClass: UsageClass): void {
    if (record.markMetered()) this.effects.push({ kind: 'meter', record, usageClass });
  }

  private removeIfReleased(record: AttemptRecord): void {
    if (record.released) this.replaceByTombstone(record);
  }

  private replaceByTombstone(record: AttemptRecord): void {
    const { outcome } = record.output;
    this.records.delete(record.id);
    this.tombstones.add(
      record.id,
      outcome?.type === 'refused'
        ? { state: 'voided', inputDigest: null, refusal: outcome }
        : { state: record.state as AttemptTombstone['state'], inputDigest: record.inputDigest },
    );
  }
}
