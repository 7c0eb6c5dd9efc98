import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { PromptPart } from './EnginePlacement.js';

/** A server that ended while responses to requests with these prompt parts were beginning. */
const CrashRecord = z.object({
  /** Identifies the incarnation of the server. */
  server: z.string(),
  /** Time since the crash, in ms. */
  ageMs: z.number().min(0),
  /** Ids of the parts that may have caused it. */
  parts: z.array(z.string()),
});

/** What a process knows about prompt parts that may crash servers; sent to its peers. */
export const CrashEvidence = z.object({
  crashes: z.array(CrashRecord),
  /** Time since the last complete response, in ms, for the parts of the crashes. */
  completed: z.record(z.string(), z.number().min(0)),
  /** Time since the last complete response to any request, in ms; older versions send none. */
  lastCompletionAgeMs: z.number().min(0).optional(),
});
export type CrashEvidence = z.infer<typeof CrashEvidence>;

/** A prompt part that crashes servers. */
export interface CrashingPart {
  readonly part: string;
  /** Parts of which at least one crashes servers. Only requests that have all of them are refused. */
  readonly suspects: readonly string[];
  /** Number of crashes that no other part explains. */
  readonly crashes: number;
  /** Time after which requests are sent to servers again, on the clock, in ms. */
  readonly endsAt: number;
}

interface Crash {
  readonly server: string;
  /** On the clock, in ms. */
  readonly at: number;
  /** Includes parts with which responses were completed later, for peers that don't know of these. */
  readonly parts: Set<string>;
}

/** The crashes that a part explains, in order. */
interface ExplainedCrashes {
  readonly all: readonly Crash[];
  /** The first crash of each moment. */
  readonly moments: readonly Crash[];
}

/** The last complete response to a request with a part. */
interface Completion {
  /** On the clock, in ms. */
  readonly at: number;
  /** Whether this process sent the request. Others are not passed on: their ages would drift. */
  readonly isOwn: boolean;
}

/** Number of crashes at different moments after which requests with a part are refused. */
const MIN_CRASHES = 3;

/**
 * Crashes that are closer together are one moment, in ms: an outage that ends many servers at the same
 * moment says little about the requests that ran there.
 */
const MIN_CRASH_INTERVAL_MS = 200;

/**
 * Number of crashes, also at the same moment, after which requests with a part are refused if no
 * response with it was ever completed. A part that is in use elsewhere has such responses.
 */
const MIN_SIMULTANEOUS_CRASHES = 5;

/**
 * Time after simultaneous crashes at which responses to other requests must still be completed, in
 * ms, before a part counts as their cause. Processes tell each other meanwhile which parts work, and
 * an outage of all servers shows as one.
 */
const SETTLE_MS = 1000;

/** Time for which a crash counts, in ms, and thus for which requests are refused. */
const CRASH_LIFETIME_MS = 3_600_000;

/** Time for which a crash that no part explains any longer is kept for the peers, in ms. */
const CLEARED_CRASH_LIFETIME_MS = 10_000;

/** Maximum number of crashes that are remembered; those that refuse no requests go first. */
const MAX_CRASHES = 48;

/** Maximum number of parts of one crash; the most recently completed ones are left out. */
const MAX_PARTS_PER_CRASH = 8;

/** Maximum number of parts whose last complete response is remembered. */
const MAX_COMPLETED_PARTS = 4000;

/** Maximum length of the id of a part, in characters; longer ones are ignored. */
const MAX_PART_LENGTH = 64;

/**
 * Finds prompt parts that crash every server that begins to respond to a request with them.
 *
 * Handles a series of such requests among sound ones that share their other parts. A crash is
 * explained by the part of the lost requests whose last complete response is the oldest, and only
 * as long as no response with that part is completed later. Parts that are in use elsewhere are
 * thereby cleared, also during the series. Requests of a group that arrive at the same moment crash
 * their servers at the same moment, like an outage; they are told apart by the parts that have never
 * worked although the servers do. Evidence is exchanged with all processes, because each
 * one sees only the requests that it sent itself.
 */
export class CrashingParts {
  /** By server, in order of the crashes. */
  private readonly crashes = new Map<string, Crash>();

  /** By part id, in order of the updates. */
  private readonly completions = new Map<string, Completion>();

  private found = new Map<string, CrashingPart>();

  /** Time of the last complete response to any request, also of peers, on the clock. */
  private lastCompletionAt = -Infinity;

  /** Same for requests of this process only, which alone is passed on: the ages of others would drift. */
  private lastOwnCompletionAt = -Infinity;

  /** Whether further complete responses may show that a part caused simultaneous crashes. */
  private isUndecided = false;

  private readonly foundEmitter = new Emitter<CrashingPart>();

  private readonly clearedEmitter = new Emitter<CrashingPart>();

  /** Fired when a part is found, and again when its suspects change. */
  readonly onFound = this.foundEmitter.event;

  /** Fired when a part no longer counts as crashing servers. */
  readonly onCleared = this.clearedEmitter.event;

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /** The parts found, by id. */
  get parts(): ReadonlyMap<string, CrashingPart> {
    return this.found;
  }

  /** Evidence to send to peers. */
  get evidence(): CrashEvidence {
    this.removeExpired();
    return this.toEvidence([...this.crashes.values()], this.lastOwnCompletionAt);
  }

  /**
   * @param part - id of a part found
   * @returns evidence to store: the crashes that the part explains, without the parts that are known
   *   to be sound
   */
  evidenceAgainst(part: string): CrashEvidence {
    const explained = this.explainedCrashes().get(part);
    const parts = new Set(this.found.get(part)?.suspects);
    const crashes = explained
      ? decisiveCrashes(explained).map((crash) => ({ ...crash, parts }))
      : [];
    return { ...this.toEvidence(crashes, this.lastCompletionAt), completed: {} };
  }

  /**
   * @param partIds - ids of the shared parts of a request
   * @returns a part because of which the request must not be sent to a server, if there is one
   */
  findIn(partIds: readonly string[]): CrashingPart | undefined {
    if (this.found.size === 0) return undefined;
    return partIds
      .map((id) => this.found.get(id))
      .find((part) => part?.suspects.every((suspect) => partIds.includes(suspect)));
  }

  /**
   * Records that a server ended while the response to a request began.
   * @param server - identifies the incarnation of the server
   * @param partIds - ids of the shared parts of the request
   */
  recordCrash(server: string, partIds: readonly string[]): void {
    this.addCrash(server, this.clock.now(), partIds);
    this.update();
  }

  /**
   * Records that the response to a request was completed.
   * @param partIds - ids of the shared parts of the request
   */
  recordCompletion(partIds: readonly string[]): void {
    const now = this.clock.now();
    const cleared = partIds.filter((id) => this.setCompleted(id, { at: now, isOwn: true }));
    this.lastCompletionAt = now;
    this.lastOwnCompletionAt = now;
    if (cleared.length > 0 || this.isUndecided) this.update();
  }

  /** Adds the evidence of a peer or of the store. */
  merge({ crashes, completed, lastCompletionAgeMs = Infinity }: CrashEvidence): void {
    const now = this.clock.now();
    this.lastCompletionAt = Math.max(this.lastCompletionAt, now - lastCompletionAgeMs);
    const cleared = Object.entries(completed).filter(([id, ageMs]) =>
      this.setCompleted(id, { at: now - ageMs, isOwn: false }),
    );
    const added = crashes
      .slice(0, MAX_CRASHES)
      .filter(({ server, ageMs, parts }) => this.addCrash(server, now - ageMs, parts));
    if (cleared.length > 0 || added.length > 0 || this.isUndecided) this.update();
  }

  /** @returns whether the crash is new or has further parts */
  private addCrash(server: string, at: number, partIds: readonly string[]): boolean {
    if (at + CRASH_LIFETIME_MS <= this.clock.now()) return false;
    const known = this.crashes.get(server);
    const crash = known ?? { server, at, parts: new Set<string>() };
    const added = partIds.filter((id) => isTrackable(id) && !crash.parts.has(id));
    if (added.length === 0) return false;
    added.forEach((id) => crash.parts.add(id));
    [...crash.parts]
      .sort((left, right) => this.lastCompletion(left) - this.lastCompletion(right))
      .slice(MAX_PARTS_PER_CRASH)
      .forEach((id) => crash.parts.delete(id));
    this.crashes.set(server, crash);
    return true;
  }

  /** @returns whether the part no longer explains a crash because of this response */
  private setCompleted(id: string, completion: Completion): boolean {
    const previousAt = this.lastCompletion(id);
    if (!isTrackable(id) || completion.at <= previousAt) return false;
    this.completions.delete(id);
    this.completions.set(id, completion);
    if (this.completions.size > MAX_COMPLETED_PARTS) {
      this.completions.delete(this.completions.keys().next().value!);
    }
    return [...this.crashes.values()].some(
      ({ parts, at }) => parts.has(id) && previousAt <= at && at < completion.at,
    );
  }

  private removeExpired(): void {
    const now = this.clock.now();
    const expired = [...this.crashes.values()].filter((crash) => {
      const isCleared = this.suspectsOf(crash).length === 0;
      return now - crash.at >= (isCleared ? CLEARED_CRASH_LIFETIME_MS : CRASH_LIFETIME_MS);
    });
    expired.forEach(({ server }) => this.crashes.delete(server));
    if (expired.length > 0) this.update();
  }

  /** Determines the parts anew from the remaining evidence. */
  private update(): void {
    const explained = this.explainedCrashes();
    const found = new Map(
      [...explained]
        .filter(([part, crashes]) => this.isCause(part, crashes))
        .map(([part, crashes]) => [part, this.toCrashingPart(part, crashes)] as const),
    );
    const previous = this.found;
    this.found = found;
    this.isUndecided = [...explained].some(
      ([part, { all }]) => !found.has(part) && this.isSuspectOfGroup(part, all),
    );
    this.limitCrashes(explained);
    previous.forEach((part, id) => !found.has(id) && this.clearedEmitter.fire(part));
    found.forEach((part, id) => {
      const known = previous.get(id);
      if (known?.suspects.length !== part.suspects.length) this.foundEmitter.fire(part);
    });
  }

  /** @returns crashes that each part explains, by part id */
  private explainedCrashes(): Map<string, ExplainedCrashes> {
    const explained = new Map<string, { all: Crash[]; moments: Crash[] }>();
    [...this.crashes.values()]
      .sort((left, right) => left.at - right.at)
      .forEach((crash) =>
        this.suspectsOf(crash).forEach((part) => {
          const crashes = explained.get(part) ?? { all: [], moments: [] };
          const lastMomentAt = crashes.moments.at(-1)?.at ?? -Infinity;
          if (crash.at - lastMomentAt >= MIN_CRASH_INTERVAL_MS) crashes.moments.push(crash);
          crashes.all.push(crash);
          explained.set(part, crashes);
        }),
      );
    return explained;
  }

  /** Whether the crashes that a part explains suffice to refuse requests with it. */
  private isCause(part: string, { all, moments }: ExplainedCrashes): boolean {
    if (moments.length >= MIN_CRASHES) return true;
    const lastCrashAt = all.at(-1)?.at ?? Infinity;
    return this.isSuspectOfGroup(part, all) && this.lastCompletionAt - lastCrashAt >= SETTLE_MS;
  }

  /** Whether requests with the part may have crashed several servers at the same moment. */
  private isSuspectOfGroup(part: string, crashes: readonly Crash[]): boolean {
    return crashes.length >= MIN_SIMULTANEOUS_CRASHES && !this.completions.has(part);
  }

  /** @returns the parts whose last complete response is the oldest, if it precedes the crash */
  private suspectsOf({ parts, at }: Crash): string[] {
    const oldest = Math.min(...[...parts].map((id) => this.lastCompletion(id)));
    return [...parts].filter((id) => this.lastCompletion(id) === oldest && oldest <= at);
  }

  private toCrashingPart(part: string, explained: ExplainedCrashes): CrashingPart {
    const { all, moments } = explained;
    const crashes = moments.length >= MIN_CRASHES ? moments : all;
    return {
      part,
      suspects: commonSuspects(crashes.map((crash) => this.suspectsOf(crash))),
      crashes: crashes.length,
      endsAt: decisiveCrashes(explained)[0]!.at + CRASH_LIFETIME_MS,
    };
  }

  private limitCrashes(explained: ReadonlyMap<string, ExplainedCrashes>): void {
    const excess = this.crashes.size - MAX_CRASHES;
    if (excess <= 0) return;
    const needed = new Set(
      [...this.found.keys()].flatMap((part) => {
        const crashes = explained.get(part);
        return crashes ? decisiveCrashes(crashes) : [];
      }),
    );
    [...this.crashes.values()]
      .sort((left, right) => left.at - right.at)
      .sort((left, right) => Number(needed.has(left)) - Number(needed.has(right)))
      .slice(0, excess)
      .forEach(({ server }) => this.crashes.delete(server));
  }

  private lastCompletion(part: string): number {
    return this.completions.get(part)?.at ?? -Infinity;
  }

  private toEvidence(crashes: readonly Crash[], lastCompletionAt: number): CrashEvidence {
    const now = this.clock.now();
    const parts = new Set(crashes.flatMap((crash) => [...crash.parts]));
    const completed = [...parts]
      .filter((id) => this.completions.get(id)?.isOwn)
      .map((id) => [id, now - this.lastCompletion(id)] as const);
    return {
      crashes: crashes.map(({ server, at, parts: ids }) => ({
        server,
        ageMs: now - at,
        parts: [...ids],
      })),
      completed: Object.fromEntries(completed),
      ...(lastCompletionAt > -Infinity && { lastCompletionAgeMs: now - lastCompletionAt }),
    };
  }
}

/**
 * @param parts - parts of a prompt, in order
 * @returns ids of the parts that other requests may share: all but the last
 */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}

/** @returns the parts that are in all lists */
function commonSuspects(lists: readonly (readonly string[])[]): string[] {
  const [first = [], ...others] = lists;
  return first.filter((id) => others.every((list) => list.includes(id)));
}

/** @returns the latest crashes that suffice to refuse requests with the part that explains them */
function decisiveCrashes({ all, moments }: ExplainedCrashes): readonly Crash[] {
  return moments.length >= MIN_CRASHES
    ? moments.slice(-MIN_CRASHES)
    : all.slice(-MIN_SIMULTANEOUS_CRASHES);
}

function isTrackable(partId: string): boolean {
  return partId.length > 0 && partId.length <= MAX_PART_LENGTH;
}
