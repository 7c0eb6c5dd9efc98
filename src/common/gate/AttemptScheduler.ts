import type { Attempt, Load } from '../protocol/Attempt.js';
import type { Clock } from '../time/Types.js';
import { FairQueue } from './FairQueue.js';
import type { GateEntry } from './GateEntry.js';
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

  private readonly claiming = new Set<GateEntry>();

  /** Claimed attempts that wait for a free slot; they take precedence over the queue. */
  private readonly ready = new Set<GateEntry>();

  private readonly running = new Set<GateEntry>();

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
  runs(): Iterable<GateEntry> {
    return this.running;
  }

  /** @returns attempts that have not been handed to the backend server and have not ended */
  notHandedOver(): GateEntry[] {
    const entries = [...this.queue.entries(), ...this.ready, ...this.claiming];
    return entries.filter((entry) => !entry.ended);
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
  findDisplaceable(attempt: Attempt): GateEntry | undefined {
    return this.queue.findDisplaceable(attempt);
  }

  /**
   * Adds an attempt to the queue.
   * @param entry - attempt that starts to wait
   */
  enqueue(entry: GateEntry): void {
    this.queue.enqueue(entry);
  }

  /**
   * Selects the next attempt for a free slot: the oldest claimed attempt, otherwise the next one of
   * the queue, which is removed from it.
   * @returns the attempt, or undefined if no slot is free or no attempt can proceed
   */
  next(): GateEntry | undefined {
    if (this.freeSlots() <= 0) return undefined;
    const [claimed] = this.ready;
    if (claimed) return claimed;
    const mayClaim = this.claiming.size < this.slots;
    return this.queue.dequeue((entry) => entry.attempt.idempotent || mayClaim);
  }

  /**
   * Records that the claim of an attempt is requested.
   * @param entry - attempt removed from the queue
   */
  beginClaim(entry: GateEntry): void {
    this.claiming.add(entry);
  }

  /**
   * Records the end of a claim request.
   * @param entry - attempt whose claim request ended
   * @param isReady - true if the attempt may run
   */
  endClaim(entry: GateEntry, isReady: boolean): void {
    this.claiming.delete(entry);
    if (isReady) this.ready.add(entry);
  }

  /**
   * Records that an attempt is handed to the backend server.
   * @param entry - attempt that starts to run
   */
  beginRun(entry: GateEntry): void {
    this.ready.delete(entry);
    this.running.add(entry);
  }

  /**
   * Records the end of a run and its service time.
   * @param entry - attempt whose run ended
   * @param serviceMs - service time in milliseconds; null if the run failed
   */
  endRun(entry: GateEntry, serviceMs: number | null): void {
    this.running.delete(entry);
    if (serviceMs !== null) this.serviceTimes.record(workKey(entry.attempt), serviceMs);
  }

  /**
   * Removes an attempt that will not run. An attempt whose claim request is in progress remains
   * until the request ends.
   * @param entry - waiting, claiming or claimed attempt
   * @returns true if the attempt holds a claim
   */
  withdraw(entry: GateEntry): boolean {
    this.queue.remove(entry);
    return this.ready.delete(entry);
  }

  /**
   * Updates the deadline of an attempt and its position in the queue.
   * @param entry - attempt that has not ended
   * @param attempt - submission that joins the attempt
   */
  adjustDeadline(entry: GateEntry, attempt: Attempt): void {
    const wasWaiting = this.queue.remove(entry);
    entry.adjustDeadline(attempt, this.clock.now());
    if (wasWaiting) this.queue.enqueue(entry);
  }

  /**
   * @param entry - attempt that arrives
   * @returns expected queueing time, in milliseconds
   */
  expectedWaitMs(entry: GateEntry): number {
    if (this.freeSlots() > 0 && this.queue.size === 0) return 0;
    const { account, weight } = entry.attempt;
    const ahead = this.queue.workAheadMs({ account, weight, deadline: entry.deadline });
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
    for (const entry of this.running) {
      sum += Math.max(0, entry.expectedMs - (now - (entry.startedAt ?? now)));
    }
    return sum;
  }

  /** Counts slots that neither a run nor a recent claim request occupies. */
  private freeSlots(): number {
    const now = this.clock.now();
    let reserved = 0;
    for (const entry of this.claiming) {
      if (now - (entry.dequeuedAt ?? now) < CLAIM_SLOT_HOLD_MS) reserved += 1;
    }
    return this.slots - this.running.size - reserved;
  }
}

/** Key under which service times of similar attempts are recorded. */
function workKey(attempt: Attempt): string {
  return `${attempt.template}/${attempt.stage}/${attempt.model ?? ''}`;
}
