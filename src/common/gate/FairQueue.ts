import type { GateEntry } from './GateEntry.js';

/** Waiting attempts of one client account, earliest deadline first. */
interface Lane {
  readonly entries: GateEntry[];
  weight: number;
  /** Virtual time at which the account's next attempt starts. */
  startTag: number;
}

/** Smallest cost of an attempt in ms, so that attempts without a learned service time also count. */
const MIN_COST_MS = 1;

/**
 * Start-time fair queueing between client accounts, earliest deadline first within an account.
 * Virtual time is the start tag of the attempt taken last; an account that was idle starts there and
 * has no credit for the past.
 */
export class FairQueue {
  private readonly lanes = new Map<string, Lane>();

  private virtualTime = 0;

  private count = 0;

  private workMs = 0;

  /** @returns number of waiting attempts. */
  get size(): number {
    return this.count;
  }

  /** @param entry - attempt that starts to wait */
  add(entry: GateEntry): void {
    const { account, weight } = entry.attempt;
    const lane = this.lanes.get(account) ?? { entries: [], weight, startTag: 0 };
    if (lane.entries.length === 0) lane.startTag = Math.max(lane.startTag, this.virtualTime);
    lane.weight = weight;
    const position = lane.entries.findIndex((other) => other.deadline > entry.deadline);
    lane.entries.splice(position === -1 ? lane.entries.length : position, 0, entry);
    this.lanes.set(account, lane);
    this.count += 1;
    this.workMs += entry.expectedMs;
  }

  /**
   * Takes the next attempt in the order of the queue.
   * @param eligible - attempts for which it gives false are passed over
   * @returns the attempt, or undefined if none is eligible
   */
  take(eligible: (entry: GateEntry) => boolean): GateEntry | undefined {
    let best: { lane: Lane; entry: GateEntry } | undefined;
    for (const lane of this.lanes.values()) {
      if (best && lane.startTag >= best.lane.startTag) continue;
      const entry = lane.entries.find(eligible);
      if (entry) best = { lane, entry };
    }
    if (!best) return undefined;
    const { lane, entry } = best;
    this.virtualTime = Math.max(this.virtualTime, lane.startTag);
    lane.startTag += Math.max(entry.expectedMs, MIN_COST_MS) / lane.weight;
    this.remove(entry);
    return entry;
  }

  /**
   * @param entry - attempt that no longer waits
   * @returns true if it was waiting
   */
  remove(entry: GateEntry): boolean {
    const lane = this.lanes.get(entry.attempt.account);
    const position = lane?.entries.indexOf(entry) ?? -1;
    if (!lane || position === -1) return false;
    lane.entries.splice(position, 1);
    this.count -= 1;
    this.workMs = this.count === 0 ? 0 : this.workMs - entry.expectedMs;
    this.forgetIdleLanes();
    return true;
  }

  /**
   * Finds a waiting attempt that a full queue gives up for a new one, so that one account's burst does
   * not keep the others out.
   * @param attempt - account and weight of the new attempt
   * @returns latest deadline of the account with the most attempts for its weight; undefined if the new
   *   attempt's own account would have as many
   */
  findDisplaceable(attempt: { account: string; weight: number }): GateEntry | undefined {
    const own = this.lanes.get(attempt.account)?.entries.length ?? 0;
    let most = (own + 1) / attempt.weight;
    let found: GateEntry | undefined;
    for (const { entries, weight } of this.lanes.values()) {
      if (entries.length / weight <= most) continue;
      most = entries.length / weight;
      found = entries.at(-1);
    }
    return found;
  }

  /** @returns all waiting attempts, in no particular order. */
  entries(): GateEntry[] {
    return [...this.lanes.values()].flatMap((lane) => lane.entries);
  }

  /** @returns expected service time of all waiting attempts, in milliseconds. */
  totalWorkMs(): number {
    return this.workMs;
  }

  /**
   * Expected service time of the work that is done before a new attempt, in slot milliseconds: all
   * waiting work at most, or the account's own earlier deadlines stretched by its share.
   * @param attempt - account, weight and deadline of the new attempt
   */
  workAheadMs(attempt: { account: string; weight: number; deadline: number }): number {
    const own = this.lanes.get(attempt.account)?.entries ?? [];
    const ahead = sumExpectedMs(own.filter((entry) => entry.deadline <= attempt.deadline));
    const otherWeights = [...this.lanes]
      .filter(([account, lane]) => account !== attempt.account && lane.entries.length > 0)
      .reduce((sum, [, lane]) => sum + lane.weight, 0);
    const stretch = (attempt.weight + otherWeights) / attempt.weight;
    return Math.min(ahead * stretch, this.totalWorkMs());
  }

  /** A lane whose tag is not ahead of virtual time would start anew at virtual time anyway. */
  private forgetIdleLanes(): void {
    for (const [account, lane] of this.lanes) {
      if (lane.entries.length === 0 && lane.startTag <= this.virtualTime) {
        this.lanes.delete(account);
      }
    }
  }
}

function sumExpectedMs(entries: readonly GateEntry[]): number {
  return entries.reduce((sum, entry) => sum + entry.expectedMs, 0);
}
