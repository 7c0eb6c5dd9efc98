import type { Attempt, AttemptStatus } from '../protocol/Attempt.js';
import { AttemptStream } from './AttemptStream.js';
import type { AttemptState, Outcome } from './Types.js';

/** One attempt that the gate knows. Times are monotonic milliseconds; null until reached. */
export class GateEntry {
  readonly stream: AttemptStream;

  state: AttemptState = 'waiting';

  deadline: number;

  /** When the attempt left the queue. */
  dequeuedAt: number | null = null;

  claimEndedAt: number | null = null;

  /** When the attempt was handed to the backend server. */
  startedAt: number | null = null;

  endedAt: number | null = null;

  /** True from the request for a claim until its row is final or known to be held by another. */
  claimOpen = false;

  private isMetered = false;

  private isAcknowledged = false;

  private isAbortRequested = false;

  /**
   * @param attempt - attempt as received first
   * @param inputDigest - digest of operation and input
   * @param receivedAt - time of arrival
   * @param expectedMs - expected service time
   */
  constructor(
    readonly attempt: Attempt,
    readonly inputDigest: string,
    readonly receivedAt: number,
    readonly expectedMs: number,
  ) {
    this.deadline = receivedAt + attempt.remainingMs;
    this.stream = new AttemptStream(attempt.requestId);
  }

  get id(): string {
    return this.attempt.attemptId;
  }

  /** State as control calls give it. */
  get status(): AttemptStatus['state'] {
    return this.state === 'ready' ? 'claiming' : this.state;
  }

  /** True in a final state. */
  get ended(): boolean {
    return this.stream.outcome !== null;
  }

  /** True if nobody needs the outcome any more: a refusal needs no acknowledgement. */
  get released(): boolean {
    const isSettled = this.ended && !this.claimOpen;
    return isSettled && (this.isAcknowledged || this.state === 'voided');
  }

  /** True for an attempt that reads a stored result and is never handed to the backend server. */
  get isReplay(): boolean {
    return this.state === 'running' && this.startedAt === null;
  }

  /**
   * @param attempt - another submission
   * @param inputDigest - its input digest
   * @returns true if it is the same work for the same account
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
   * A copy sent again for the same request tells the time left more exactly than one that was read
   * late; another request for the same work may have more time.
   * @param attempt - submission that joins
   * @param now - time of its arrival
   */
  adjustDeadline(attempt: Attempt, now: number): void {
    const choose = attempt.requestId === this.attempt.requestId ? Math.min : Math.max;
    this.deadline = choose(this.deadline, now + attempt.remainingMs);
  }

  /**
   * @param now - time at which the attempt leaves the queue; later calls have no effect
   */
  leaveQueue(now: number): void {
    this.dequeuedAt ??= now;
  }

  /** Begins the request for a claim. */
  beginClaim(): void {
    this.state = 'claiming';
    this.claimOpen = true;
  }

  /**
   * @param now - end of the claim request
   * @param isHeld - true if the row is or may be this holder's
   */
  endClaim(now: number, isHeld: boolean): void {
    this.claimEndedAt = now;
    this.claimOpen = isHeld;
  }

  /** The claim row is final, or another holder has it. */
  closeClaim(): void {
    this.claimOpen = false;
  }

  /** Marks a claimed attempt that waits for a slot. */
  markReady(): void {
    this.state = 'ready';
  }

  /** @param now - time of the hand-off to the backend server */
  beginRun(now: number): void {
    this.state = 'running';
    this.startedAt = now;
  }

  /** Begins to read a stored result. */
  beginReplay(): void {
    this.state = 'running';
  }

  /** @param now - time at which the backend call ended */
  endRun(now: number): void {
    this.endedAt = now;
  }

  /**
   * @param now - time of the end, if no run ended before
   * @param state - final state
   * @param outcome - what submitters get
   */
  end(now: number, state: 'finished' | 'failed' | 'voided', outcome: Outcome): void {
    this.endedAt ??= now;
    this.state = state;
    this.stream.finish(outcome);
  }

  /** An entry has the outcome. */
  acknowledge(): void {
    this.isAcknowledged = true;
  }

  /** @returns true the first time, if the backend server was called */
  takeMeterTurn(): boolean {
    const { outcome } = this.stream;
    const isUsed = outcome !== null && outcome.type !== 'refused' && outcome.usage.calls > 0;
    if (this.isMetered || !isUsed) return false;
    this.isMetered = true;
    return true;
  }

  /** @returns true the first time */
  takeAbortTurn(): boolean {
    const isFirst = !this.isAbortRequested;
    this.isAbortRequested = true;
    return isFirst;
  }
}
