import type { Attempt, Load } from '../protocol/Attempt.js';
import type { Clock } from '../time/Types.js';
import { FairQueue } from './FairQueue.js';
import type { GateEntry } from './GateEntry.js';
import { ServiceTimes } from './ServiceTimes.js';

/**
 * A claim in progress holds a slot for this long. After it the slot goes to other attempts, so that a
 * slow store does not keep idempotent work from the backend server.
 */
const CLAIM_SLOT_HOLD_MS = 50;

/** Attempts that have not ended: the queue, claims in progress and runs, and the slots they take. */
export class Schedule {
  private readonly queue = new FairQueue();

  private readonly claiming = new Set<GateEntry>();

  /** Claimed attempts that wait for a free slot; they go before the queue. */
  private readonly ready = new Set<GateEntry>();

  private readonly running = new Set<GateEntry>();

  private readonly serviceTimes: ServiceTimes;

  /**
   * @param slots - concurrent runs that the backend server takes
   * @param clock - monotonic time
   */
  constructor(
    private readonly slots: number,
    private readonly clock: Clock,
  ) {
    this.serviceTimes = new ServiceTimes(clock);
  }

  /** @returns number of waiting attempts. */
  get waiting(): number {
    return this.queue.size;
  }

  /** @returns number of attempts that wait, claim or run. */
  get size(): number {
    return this.queue.size + this.claiming.size + this.ready.size + this.running.size;
  }

  /** @returns attempts on the backend server. */
  runs(): Iterable<GateEntry> {
    return this.running;
  }

  /** @returns attempts not handed to the backend server yet. */
  notHandedOver(): GateEntry[] {
    const entries = [...this.queue.entries(), ...this.ready, ...this.claiming];
    return entries.filter((entry) => !entry.ended);
  }

  /**
   * @param attempt - attempt of some kind of work
   * @returns learned service time in milliseconds, 0 if nothing is known
   */
  expectedMs(attempt: Attempt): number {
    return this.serviceTimes.expectedMs(workKey(attempt));
  }

  /**
   * @param attempt - attempt of some kind of work
   * @returns shortest time in milliseconds in which it may be done, 0 if nothing is known
   */
  fastMs(attempt: Attempt): number {
    return this.serviceTimes.fastMs(workKey(attempt));
  }

  /**
   * @param attempt - attempt that arrives at a full queue
   * @returns waiting attempt to give up for it, if any
   */
  findDisplaceable(attempt: Attempt): GateEntry | undefined {
    return this.queue.findDisplaceable(attempt);
  }

  /** @param entry - attempt that starts to wait */
  enqueue(entry: GateEntry): void {
    this.queue.add(entry);
  }

  /** Takes the next attempt out of the queue or the claimed ones, if a slot is free. */
  next(): GateEntry | undefined {
    if (this.freeSlots() <= 0) return undefined;
    const [claimed] = this.ready;
    if (claimed) return claimed;
    const mayClaim = this.claiming.size < this.slots;
    return this.queue.take((entry) => entry.attempt.idempotent || mayClaim);
  }

  /** @param entry - attempt taken from the queue whose claim is requested now */
  beginClaim(entry: GateEntry): void {
    this.claiming.add(entry);
  }

  /**
   * @param entry - attempt whose claim request ended
   * @param isReady - true if it may run
   */
  endClaim(entry: GateEntry, isReady: boolean): void {
    this.claiming.delete(entry);
    if (isReady) this.ready.add(entry);
  }

  /** @param entry - attempt that is handed to the backend server now */
  beginRun(entry: GateEntry): void {
    this.ready.delete(entry);
    this.running.add(entry);
  }

  /**
   * @param entry - attempt whose run ended
   * @param serviceMs - its service time if it succeeded
   */
  endRun(entry: GateEntry, serviceMs: number | null): void {
    this.running.delete(entry);
    if (serviceMs !== null) this.serviceTimes.record(workKey(entry.attempt), serviceMs);
  }

  /**
   * Takes an attempt out that will not run. A claim request in progress keeps its place until it ends.
   * @param entry - waiting or claimed attempt
   * @returns true if it holds a claim
   */
  withdraw(entry: GateEntry): boolean {
    this.queue.remove(entry);
    return this.ready.delete(entry);
  }

  /**
   * Changes the deadline of an attempt and its place in the queue.
   * @param entry - attempt that has not ended
   * @param attempt - submission that joins it now
   */
  adjustDeadline(entry: GateEntry, attempt: Attempt): void {
    const wasWaiting = this.queue.remove(entry);
    entry.adjustDeadline(attempt, this.clock.now());
    if (wasWaiting) this.queue.add(entry);
  }

  /**
   * @param entry - attempt that arrives
   * @returns expected time in the queue, in milliseconds
   */
  expectedWaitMs(entry: GateEntry): number {
    if (this.freeSlots() > 0 && this.queue.size === 0) return 0;
    const { account, weight } = entry.attempt;
    const ahead = this.queue.workAheadMs({ account, weight, deadline: entry.deadline });
    return (ahead + this.remainingWorkMs()) / this.slots;
  }

  /**
   * @param draining - whether new attempts are refused
   * @returns load as frames carry it
   */
  load(draining: boolean): Load {
    const running = this.running.size + this.claiming.size + this.ready.size;
    const isFree = running < this.slots && this.queue.size === 0;
    return {
      slots: this.slots,
      running,
      waiting: this.queue.size,
      waitMs: isFree ? 0 : (this.queue.totalWorkMs() + this.remainingWorkMs()) / this.slots,
      draining,
    };
  }

  private remainingWorkMs(): number {
    const now = this.clock.now();
    let sum = 0;
    for (const entry of this.running) {
      sum += Math.max(0, entry.expectedMs - (now - (entry.startedAt ?? now)));
    }
    return sum;
  }

  private freeSlots(): number {
    const now = this.clock.now();
    let held = 0;
    for (const entry of this.claiming) {
      if (now - (entry.dequeuedAt ?? now) < CLAIM_SLOT_HOLD_MS) held += 1;
    }
    return this.slots - this.running.size - held;
  }
}

/** Kind of work for learned service times. */
function workKey(attempt: Attempt): string {
  return `${attempt.template}/${attempt.stage}/${attempt.model ?? ''}`;
}
