import type { Attempt, Load } from '../protocol/Attempt.js';
import type { Clock } from '../time/Types.js';
import { FairQueue } from './FairQueue.js';
import type { AttemptRecord } from './AttemptRecord.js';
import { ServiceTimeEstimator } from './ServiceTimeEstimator.js';

/**
 * Time for which a claim request in progress reserves a slot. Afterwards the slot is available to
 * other attempts, so that a slow store does not block idempotent work.
 */
const CLAIM_SLOT_HOLD_MS = 50;

/**
 * Schedules the attempts that have not ended on the slots of the backend server. Tracks waiting
 * attempts, claim requests in progress, claimed attempts that wait for a slot, and runs.
 */
export class AttemptScheduler {
  private readonly queue = new FairQueue();

  private readonly claiming = new Set<AttemptRecord>();

  /** Claimed attempts that wait for a free slot; they take precedence over the queue. */
  private readonly ready = new Set<AttemptRecord>();

  private readonly running = new Set<AttemptRecord>();

  private readonly serviceTimes: ServiceTimeEstimator;

  /**
   * @param slots - maximum number of concurrent runs on the backend server
   * @param clock - monotonic time
   */
  constructor(
    private readonly slots: number,
    private readonly clock: Clock,
  ) {
    this.serviceTimes = new ServiceTimeEstimator(clock);
  }

  /** Number of attempts in the queue. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Number of attempts that wait, claim or run. */
  get size(): number {
    return this.queue.size + this.claiming.size + this.ready.size + this.running.size;
  }

  /** @returns attempts that run on the backend server */
  runs(): Iterable<AttemptRecord> {
    return this.running;
  }

  /** @returns attempts that have not been handed to the backend server and have not ended */
  notHandedOver(): AttemptRecord[] {
    const records = [...this.queue.records(), ...this.ready, ...this.claiming];
    return records.filter((record) => !record.ended);
  }

  /**
   * @param attempt - attempt whose template, stage and model select the estimate
   * @returns median service time in milliseconds; 0 without a current estimate
   */
  expectedMs(attempt: Attempt): number {
    return this.serviceTimes.expectedMs(workKey(attempt));
  }

  /**
   * @param attempt - attempt whose template, stage and model select the estimate
   * @returns optimistic service time in milliseconds; 0 without a current estimate
   */
  optimisticMs(attempt: Attempt): number {
    return this.serviceTimes.optimisticMs(workKey(attempt));
  }

  /**
   * @param attempt - attempt that arrives at a full queue
   * @returns waiting attempt to drop in its favour; undefined if the new attempt has to be refused
   */
  findDisplaceable(attempt: Attempt): AttemptRecord | undefined {
    return this.queue.findDisplaceable(attempt);
  }

  /**
   * Adds an attempt to the queue.
   * @param record - attempt that starts to wait
   */
  enqueue(record: AttemptRecord): void {
    this.queue.enqueue(record);
  }

  /**
   * Selects the next attempt for a free slot: the oldest claimed attempt, otherwise the next one of
   * the queue, which is removed from it.
   * @returns the attempt, or undefined if no slot is free or no attempt can proceed
   */
  next(): AttemptRecord | undefined {
    if (this.freeSlots() <= 0) return undefined;
    const [claimed] = this.ready;
    if (claimed) return claimed;
    const mayClaim = this.claiming.size < this.slots;
    return this.queue.dequeue((record) => record.attempt.idempotent || mayClaim);
  }

  /**
   * Records that the claim of an attempt is requested.
   * @param record - attempt removed from the queue
   */
  beginClaim(record: AttemptRecord): void {
    this.claiming.add(record);
  }

  /**
   * Records the end of a claim request.
   * @param record - attempt whose claim request ended
   * @param isReady - true if the attempt may run
   */
  endClaim(record: AttemptRecord, isReady: boolean): void {
    this.claiming.delete(record);
    if (isReady) this.ready.add(record);
  }

  /**
   * Records that an attempt is handed to the backend server.
   * @param record - attempt that starts to run
   */
  beginRun(record: AttemptRecord): void {
    this.ready.delete(record);
    this.running.add(record);
  }

  /**
   * Records the end of a run and its service time.
   * @param record - attempt whose run ended
   * @param serviceMs - service time in milliseconds; null if the run failed
   */
  endRun(record: AttemptRecord, serviceMs: number | null): void {
    this.running.delete(record);
    if (serviceMs !== null) this.serviceTimes.record(workKey(record.attempt), serviceMs);
  }

  /**
   * Removes an attempt that will not run. An attempt whose claim request is in progress remains
   * until the request ends.
   * @param record - waiting, claiming or claimed attempt
   * @returns true if the attempt holds a claim
   */
  withdraw(record: AttemptRecord): boolean {
    this.queue.remove(record);
    return this.ready.delete(record);
  }

  /**
   * Updates the deadline of an attempt and its position in the queue.
   * @param record - attempt that has not ended
   * @param attempt - submission that joins the attempt
   */
  adjustDeadline(record: AttemptRecord, attempt: Attempt): void {
    const wasWaiting = this.queue.remove(record);
    record.adjustDeadline(attempt, this.clock.now());
    if (wasWaiting) this.queue.enqueue(record);
  }

  /**
   * @param record - attempt that arrives
   * @returns expected queueing time, in milliseconds
   */
  expectedWaitMs(record: AttemptRecord): number {
    if (this.freeSlots() > 0 && this.queue.size === 0) return 0;
    const { account, weight } = record.attempt;
    const ahead = this.queue.workAheadMs({ account, weight, deadline: record.deadline });
    return (ahead + this.remainingWorkMs()) / this.slots;
  }

  /**
   * @param draining - whether new attempts are refused
   * @returns load as reported in frames
   */
  load(draining: boolean): Load {
    const running = this.running.size + this.claiming.size + this.ready.size;
    const hasFreeSlot = running < this.slots && this.queue.size === 0;
    return {
      slots: this.slots,
      running,
      waiting: this.queue.size,
      waitMs: hasFreeSlot ? 0 : (this.queue.totalWorkMs() + this.remainingWorkMs()) / this.slots,
      draining,
    };
  }

  /** Sums the expected remaining service time of all runs, in milliseconds. */
  private remainingWorkMs(): number {
    const now = this.clock.now();
    let sum = 0;
    for (const record of this.running) {
      sum += Math.max(0, record.expectedMs - (now - (record.startedAt ?? now)));
    }
    return sum;
  }

  /** Counts slots that neither a run nor a recent claim request occupies. */
  private freeSlots(): number {
    const now = this.clock.now();
    let reserved = 0;
    for (const record of this.claiming) {
      if (now - (record.dequeuedAt ?? now) < CLAIM_SLOT_HOLD_MS) reserved += 1;
    }
    return this.slots - this.running.size - reserved;
  }
}

/** Key under which service times of similar attempts are recorded. */
function workKey(attempt: Attempt): string {
  return `${attempt.template}/${attempt.stage}/${attempt.model ?? ''}`;
}
