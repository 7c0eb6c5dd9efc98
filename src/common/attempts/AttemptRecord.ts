import type { Attempt, AttemptStatus } from '../protocol/Attempt.js';
import { AttemptOutput } from './AttemptOutput.js';
import type { AttemptState, AttemptOutcome } from './Types.js';

/**
 * State of one attempt in the attempt state machine. Times are in monotonic milliseconds; null until
 * reached.
 */
export class AttemptRecord {
  readonly output: AttemptOutput;

  state: AttemptState = 'waiting';

  deadline: number;

  /** When the attempt left the queue. */
  dequeuedAt: number | null = null;

  /** When the claim request ended. */
  claimEndedAt: number | null = null;

  /** When the attempt was handed to the backend server. */
  startedAt: number | null = null;

  /** When the run ended, or when the attempt ended without a run. */
  endedAt: number | null = null;

  /**
   * Whether the claim is unsettled: true from the claim request until the row is final or known to
   * be held by another attempt.
   */
  isClaimOpen = false;

  private isMetered = false;

  private isAcknowledged = false;

  private isAbortRequested = false;

  /**
   * @param attempt - attempt as first received
   * @param inputDigest - digest of operation and input
   * @param receivedAt - time of arrival
   * @param expectedMs - expected service time in milliseconds; 0 if unknown
   */
  constructor(
    readonly attempt: Attempt,
    readonly inputDigest: string,
    readonly receivedAt: number,
    readonly expectedMs: number,
  ) {
    this.deadline = receivedAt + attempt.remainingMs;
    this.output = new AttemptOutput(attempt.requestId);
  }

  get id(): string {
    return this.attempt.attemptId;
  }

  /** State as reported by control calls, which have no `ready`. */
  get status(): AttemptStatus['state'] {
    return this.state === 'ready' ? 'claiming' : this.state;
  }

  /** Whether the attempt has an outcome. */
  get ended(): boolean {
    return this.output.outcome !== null;
  }

  /**
   * Whether the outcome is no longer needed: the attempt has ended, its claim is settled and the
   * outcome was acknowledged. Refusals need no acknowledgement.
   */
  get released(): boolean {
    const settle = this.ended && !this.isClaimOpen;
    return settle && (this.isAcknowledged || this.state === 'voided');
  }

  /** Whether the attempt reads a stored result instead of being handed to the backend server. */
  get isReplay(): boolean {
    return this.state === 'running' && this.startedAt === null;
  }

  /**
   * Whether another submission under the same attempt id is the same work for the same account.
   * @param attempt - submission received later
   * @param inputDigest - its digest of operation and input
   */
  matches(attempt: Attempt, inputDigest: string): boolean {
    return (
      this.inputDigest === inputDigest &&
      this.attempt.account === attempt.account &&
      this.attempt.template === attempt.template &&
      this.attempt.stage === attempt.stage &&
      this.attempt.idempotent === attempt.idempotent &&
      this.attempt.idempotencyKey === attempt.idempotencyKey
    );
  }

  /**
   * Updates the deadline for a submission that joins. A submission of the same request can only
   * shorten it, because a copy that was read late gives too late a deadline. Another request for
   * the same work can only extend it.
   * @param attempt - submission that joins
   * @param now - time of its arrival
   */
  adjustDeadline(attempt: Attempt, now: number): void {
    const choose = attempt.requestId === this.attempt.requestId ? Math.min : Math.max;
    this.deadline = choose(this.deadline, now + attempt.remainingMs);
  }

  /**
   * Records when the attempt left the queue. Later calls have no effect.
   * @param now - current time
   */
  leaveQueue(now: number): void {
    this.dequeuedAt ??= now;
  }

  /** Records that the claim of the attempt is requested. */
  beginClaim(): void {
    this.state = 'claiming';
    this.isClaimOpen = true;
  }

  /**
   * Records the end of the claim request.
   * @param now - current time
   * @param isHeld - true if this holder owns the row or may own it
   */
  endClaim(now: number, isHeld: boolean): void {
    this.claimEndedAt = now;
    this.isClaimOpen = isHeld;
  }

  /** Records that the claim row is final or that another holder owns it. */
  closeClaim(): void {
    this.isClaimOpen = false;
  }

  /** Records that the attempt is claimed and waits for a slot. */
  markReady(): void {
    this.state = 'ready';
  }

  /**
   * Records that the attempt is handed to the backend server.
   * @param now - current time
   */
  beginRun(now: number): void {
    this.state = 'running';
    this.startedAt = now;
  }

  /** Records that the stored result of an earlier run is being read. */
  beginReplay(): void {
    this.state = 'running';
  }

  /**
   * Records that the backend call has ended.
   * @param now - current time
   */
  endRun(now: number): void {
    this.endedAt = now;
  }

  /**
   * Sets the final state and the outcome.
   * @param now - current time; recorded as the end unless a run has ended before
   * @param state - final state
   * @param outcome - outcome returned to all submitters
   */
  end(now: number, state: 'finished' | 'failed' | 'voided', outcome: AttemptOutcome): void {
    this.endedAt ??= now;
    this.state = state;
    this.output.finish(outcome);
  }

  /** Records that an entry process has received the outcome. */
  acknowledge(): void {
    this.isAcknowledged = true;
  }

  /**
   * Marks the usage of the attempt as counted, so that it is counted only once.
   * @returns true if the usage has to be counted now: on the first call, if the backend server was
   *   called
   */
  markMetered(): boolean {
    const { outcome } = this.output;
    const isUsed = outcome !== null && outcome.type !== 'refused' && outcome.usage.calls > 0;
    if (this.isMetered || !isUsed) return false;
    this.isMetered = true;
    return true;
  }

  /**
   * Marks the run as being aborted.
   * @returns true on the first call
   */
  markAbortRequested(): boolean {
    const isFirst = !this.isAbortRequested;
    this.isAbortRequested = true;
    return isFirst;
  }
}
