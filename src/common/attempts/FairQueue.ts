import type { AttemptRecord } from './AttemptRecord.js';

/** Waiting attempts of one client account, earliest deadline first. */
interface AccountQueue {
  readonly records: AttemptRecord[];
  weight: number;
  /** Start tag of the account's next attempt, in virtual time. */
  startTag: number;
}

/**
 * Minimum cost of an attempt in ms, so that attempts without a known service time are charged too.
 */
const MIN_COST_MS = 1;

/**
 * Start-time fair queueing between client accounts, earliest deadline first within an account.
 * Virtual time is the highest start tag of the attempts dequeued so far. An account that was idle
 * starts at the virtual time, so it gains no credit for its idle period.
 */
export class FairQueue {
  private readonly accountQueues = new Map<string, AccountQueue>();

  private virtualTime = 0;

  private count = 0;

  private queuedWorkMs = 0;

  /** Number of waiting attempts. */
  get size(): number {
    return this.count;
  }

  /**
   * Adds an attempt to the queue of its account.
   * @param record - attempt that starts to wait
   */
  enqueue(record: AttemptRecord): void {
    const { account, weight } = record.attempt;
    const queue = this.accountQueues.get(account) ?? { records: [], weight, startTag: 0 };
    if (queue.records.length === 0) queue.startTag = Math.max(queue.startTag, this.virtualTime);
    queue.weight = weight;
    const position = queue.records.findIndex((other) => other.deadline > record.deadline);
    queue.records.splice(position === -1 ? queue.records.length : position, 0, record);
    this.accountQueues.set(account, queue);
    this.count += 1;
    this.queuedWorkMs += record.expectedMs;
  }

  /**
   * Removes and returns the next eligible attempt: that of the account with the lowest start tag.
   * @param eligible - predicate; attempts for which it returns false are skipped
   * @returns the attempt, or undefined if none is eligible
   */
  dequeue(eligible: (record: AttemptRecord) => boolean): AttemptRecord | undefined {
    let best: { queue: AccountQueue; record: AttemptRecord } | undefined;
    for (const queue of this.accountQueues.values()) {
      if (best && queue.startTag >= best.queue.startTag) continue;
      const record = queue.records.find(eligible);
      if (record) best = { queue, record };
    }
    if (!best) return undefined;
    const { queue, record } = best;
    this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    queue.startTag += Math.max(record.expectedMs, MIN_COST_MS) / queue.weight;
    this.remove(record);
    return record;
  }

  /**
   * Removes an attempt from the queue of its account.
   * @param record - attempt that no longer waits
   * @returns true if the attempt was in the queue
   */
  remove(record: AttemptRecord): boolean {
    const queue = this.accountQueues.get(record.attempt.account);
    const position = queue?.records.indexOf(record) ?? -1;
    if (!queue || position === -1) return false;
    queue.records.splice(position, 1);
    this.count -= 1;
    this.queuedWorkMs = this.count === 0 ? 0 : this.queuedWorkMs - record.expectedMs;
    this.deleteIdleQueues();
    return true;
  }

  /**
   * Finds the waiting attempt that a full queue drops in favour of a new one, so that a burst of
   * one account does not lock out the others.
   * @param attempt - account and weight of the new attempt
   * @returns attempt with the latest deadline of the account that has the most attempts relative to
   *   its weight; undefined if the new attempt's account would then have at least as many
   */
  findDisplaceable(attempt: { account: string; weight: number }): AttemptRecord | undefined {
    const ownCount = this.accountQueues.get(attempt.account)?.records.length ?? 0;
    let highestRatio = (ownCount + 1) / attempt.weight;
    let candidate: AttemptRecord | undefined;
    for (const { records, weight } of this.accountQueues.values()) {
      if (records.length / weight <= highestRatio) continue;
      highestRatio = records.length / weight;
      candidate = records.at(-1);
    }
    return candidate;
  }

  /** @returns all waiting attempts, in no particular order */
  records(): AttemptRecord[] {
    return [...this.accountQueues.values()].flatMap((queue) => queue.records);
  }

  /** @returns expected service time of all waiting attempts, in milliseconds */
  totalWorkMs(): number {
    return this.queuedWorkMs;
  }

  /**
   * Estimates the work that will be served before a new attempt. The estimate is the expected
   * service time of the account's attempts with no later deadline, divided by the account's share
   * of the slots, and at most that of all waiting attempts.
   * @param attempt - account, weight and deadline of the new attempt
   * @returns expected service time summed over slots, in milliseconds
   */
  workAheadMs(attempt: { account: string; weight: number; deadline: number }): number {
    const ownRecords = this.accountQueues.get(attempt.account)?.records ?? [];
    const ownWorkMs = sumExpectedMs(
      ownRecords.filter((record) => record.deadline <= attempt.deadline),
    );
    const otherWeights = [...this.accountQueues]
      .filter(([account, queue]) => account !== attempt.account && queue.records.length > 0)
      .reduce((sum, [, queue]) => sum + queue.weight, 0);
    const inverseShare = (attempt.weight + otherWeights) / attempt.weight;
    return Math.min(ownWorkMs * inverseShare, this.totalWorkMs());
  }

  /**
   * Deletes empty queues whose start tag is not ahead of virtual time. Their next attempt would
   * start at virtual time in any case.
   */
  private deleteIdleQueues(): void {
    for (const [account, queue] of this.accountQueues) {
      if (queue.records.length === 0 && queue.startTag <= this.virtualTime) {
        this.accountQueues.delete(account);
      }
    }
  }
}

function sumExpectedMs(records: readonly AttemptRecord[]): number {
  return records.reduce((sum, record) => sum + record.expectedMs, 0);
}
