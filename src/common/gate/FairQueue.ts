import type { GateEntry } from './GateEntry.js';

/** Waiting attempts of one client account, earliest deadline first. */
interface AccountQueue {
  readonly entries: GateEntry[];
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
   * @param entry - attempt that starts to wait
   */
  enqueue(entry: GateEntry): void {
    const { account, weight } = entry.attempt;
    const queue = this.accountQueues.get(account) ?? { entries: [], weight, startTag: 0 };
    if (queue.entries.length === 0) queue.startTag = Math.max(queue.startTag, this.virtualTime);
    queue.weight = weight;
    const position = queue.entries.findIndex((other) => other.deadline > entry.deadline);
    queue.entries.splice(position === -1 ? queue.entries.length : position, 0, entry);
    this.accountQueues.set(account, queue);
    this.count += 1;
    this.queuedWorkMs += entry.expectedMs;
  }

  /**
   * Removes and returns the next eligible attempt: that of the account with the lowest start tag.
   * @param eligible - predicate; attempts for which it returns false are skipped
   * @returns the attempt, or undefined if none is eligible
   */
  dequeue(eligible: (entry: GateEntry) => boolean): GateEntry | undefined {
    let best: { queue: AccountQueue; entry: GateEntry } | undefined;
    for (const queue of this.accountQueues.values()) {
      if (best && queue.startTag >= best.queue.startTag) continue;
      const entry = queue.entries.find(eligible);
      if (entry) best = { queue, entry };
    }
    if (!best) return undefined;
    const { queue, entry } = best;
    this.virtualTime = Math.max(this.virtualTime, queue.startTag);
    queue.startTag += Math.max(entry.expectedMs, MIN_COST_MS) / queue.weight;
    this.remove(entry);
    return entry;
  }

  /**
   * Removes an attempt from the queue of its account.
   * @param entry - attempt that no longer waits
   * @returns true if the attempt was in the queue
   */
  remove(entry: GateEntry): boolean {
    const queue = this.accountQueues.get(entry.attempt.account);
    const position = queue?.entries.indexOf(entry) ?? -1;
    if (!queue || position === -1) return false;
    queue.entries.splice(position, 1);
    this.count -= 1;
    this.queuedWorkMs = this.count === 0 ? 0 : this.queuedWorkMs - entry.expectedMs;
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
  findDisplaceable(attempt: { account: string; weight: number }): GateEntry | undefined {
    const ownCount = this.accountQueues.get(attempt.account)?.entries.length ?? 0;
    let highestRatio = (ownCount + 1) / attempt.weight;
    let candidate: GateEntry | undefined;
    for (const { entries, weight } of this.accountQueues.values()) {
      if (entries.length / weight <= highestRatio) continue;
      highestRatio = entries.length / weight;
      candidate = entries.at(-1);
    }
    return candidate;
  }

  /** @returns all waiting attempts, in no particular order */
  entries(): GateEntry[] {
    return [...this.accountQueues.values()].flatMap((queue) => queue.entries);
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
    const ownEntries = this.accountQueues.get(attempt.account)?.entries ?? [];
    const ownWorkMs = sumExpectedMs(
      ownEntries.filter((entry) => entry.deadline <= attempt.deadline),
    );
    const otherWeights = [...this.accountQueues]
      .filter(([account, queue]) => account !== attempt.account && queue.entries.length > 0)
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
      if (queue.entries.length === 0 && queue.startTag <= this.virtualTime) {
        this.accountQueues.delete(account);
      }
    }
  }
}

function sumExpectedMs(entries: readonly GateEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.expectedMs, 0);
}
