import type { Clock } from '../time/Types.js';

/** A server that ended while responses to requests with some prompt parts were beginning. */
export interface Crash {
  /** Identifies the incarnation of the server. */
  readonly server: string;
  /** On the clock, in ms. */
  readonly at: number;
  /** Includes parts with which responses were completed later. */
  readonly parts: Set<string>;
  /** Whether this process saw it. */
  isOwn: boolean;
}

/** The last complete response to a request with a part. */
export interface Completion {
  /** On the clock, in ms. */
  readonly at: number;
  /** Whether this process sent the request. Others are not passed on: their ages would drift. */
  readonly isOwn: boolean;
}

/** Time for which a crash counts, in ms. */
export const CRASH_LIFETIME_MS = 3_600_000;

/** Time for which a crash that no part explains any longer is kept for the peers, in ms. */
const CLEARED_CRASH_LIFETIME_MS = 10_000;

/** Maximum number of crashes that are remembered. */
const MAX_CRASHES = 48;

/**
 * Maximum number of parts of one crash: more than one request can name. Of several requests that were
 * lost together, the most recently completed parts are left out.
 */
const MAX_PARTS_PER_CRASH = 4096;

/** Maximum number of parts of all crashes. */
const MAX_PARTS = 16_384;

/** Maximum number of parts whose last complete response is remembered. */
const MAX_COMPLETED_PARTS = 16_384;

/**
 * Bounded memory of crashes and of the last complete response with each prompt part. The ids of parts
 * must be of bounded length.
 */
export class CrashRecords {
  /** By server, in order of the crashes. */
  private readonly crashes = new Map<string, Crash>();

  /** Number of crashes that each part belongs to. */
  private readonly crashCounts = new Map<string, number>();

  /** By part, in order of the updates. */
  private readonly completions = new Map<string, Completion>();

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /** Crashes, in the order in which they were heard of. */
  get all(): Crash[] {
    return [...this.crashes.values()];
  }

  /** Number of parts of all crashes. */
  get partCount(): number {
    return this.all.reduce((sum, { parts }) => sum + parts.size, 0);
  }

  /** Parts of the crashes with which this process has completed a response, the newest first. */
  get ownCompletions(): string[] {
    return [...this.crashCounts.keys()]
      .filter((part) => this.completions.get(part)?.isOwn)
      .sort((left, right) => this.lastCompletion(right) - this.lastCompletion(left));
  }

  /** @returns time of the last complete response with the part, on the clock; -Infinity for none */
  lastCompletion(part: string): number {
    return this.completions.get(part)?.at ?? -Infinity;
  }

  /** @returns the parts whose last complete response is the oldest, if it precedes the crash */
  suspectsOf({ parts, at }: Crash): string[] {
    let oldest = Infinity;
    parts.forEach((part) => {
      oldest = Math.min(oldest, this.lastCompletion(part));
    });
    if (oldest > at) return [];
    return [...parts].filter((part) => this.lastCompletion(part) === oldest);
  }

  /** @returns the parts that had no complete response since the crash */
  unclearedParts({ parts, at }: Crash): string[] {
    return [...parts].filter((part) => this.lastCompletion(part) <= at);
  }

  /** @returns those of the parts that belong to other crashes too */
  commonParts(parts: readonly string[]): string[] {
    return parts.filter((part) => (this.crashCounts.get(part) ?? 0) > 1);
  }

  /**
   * @param isOwn - whether this process saw the crash
   * @returns whether the crash is new or has further parts
   */
  addCrash(server: string, at: number, parts: readonly string[], isOwn: boolean): boolean {
    if (at + CRASH_LIFETIME_MS <= this.clock.now()) return false;
    const crash = this.crashes.get(server) ?? { server, at, parts: new Set<string>(), isOwn };
    crash.isOwn ||= isOwn;
    const added = [...new Set(parts)]
      .filter((part) => part.length > 0 && !crash.parts.has(part))
      .sort((left, right) => this.lastCompletion(left) - this.lastCompletion(right))
      .slice(0, MAX_PARTS_PER_CRASH - crash.parts.size);
    if (added.length === 0) return false;
    added.forEach((part) => {
      crash.parts.add(part);
      this.crashCounts.set(part, (this.crashCounts.get(part) ?? 0) + 1);
    });
    this.crashes.set(server, crash);
    return true;
  }

  /** @returns whether the part no longer explains a crash because of this response */
  setCompleted(part: string, completion: Completion): boolean {
    const previousAt = this.lastCompletion(part);
    if (part.length === 0 || completion.at <= previousAt) return false;
    this.completions.delete(part);
    this.completions.set(part, completion);
    if (this.completions.size > MAX_COMPLETED_PARTS) {
      this.completions.delete(this.completions.keys().next().value!);
    }
    if (!this.crashCounts.has(part)) return false;
    return this.all.some(
      ({ parts, at }) => parts.has(part) && previousAt <= at && at < completion.at,
    );
  }

  /** @returns whether a complete response with the part was ever seen */
  hasCompleted(part: string): boolean {
    return this.completions.has(part);
  }

  /** @returns whether crashes were removed whose time is over */
  removeExpired(): boolean {
    const now = this.clock.now();
    const expired = this.all.filter((crash) => {
      const isCleared = this.suspectsOf(crash).length === 0;
      return now - crash.at >= (isCleared ? CLEARED_CRASH_LIFETIME_MS : CRASH_LIFETIME_MS);
    });
    expired.forEach((crash) => this.remove(crash));
    return expired.length > 0;
  }

  /**
   * Removes crashes beyond the bounds, the oldest first.
   * @param needed - returns crashes that go last
   */
  limit(needed: () => ReadonlySet<Crash>): void {
    let { partCount } = this;
    const isWithinBounds = () => this.crashes.size <= MAX_CRASHES && partCount <= MAX_PARTS;
    if (isWithinBounds()) return;
    const keptLast = needed();
    this.all
      .sort((left, right) => left.at - right.at)
      .sort((left, right) => Number(keptLast.has(left)) - Number(keptLast.has(right)))
      .forEach((crash) => {
        if (isWithinBounds()) return;
        partCount -= crash.parts.size;
        this.remove(crash);
      });
  }

  private remove({ server, parts }: Crash): void {
    this.crashes.delete(server);
    parts.forEach((part) => {
      const count = this.crashCounts.get(part)! - 1;
      if (count > 0) this.crashCounts.set(part, count);
      else this.crashCounts.delete(part);
    });
  }
}
