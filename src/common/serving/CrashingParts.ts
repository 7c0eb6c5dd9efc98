import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import {
  evidencePage,
  FIRST_POSITION,
  type CrashEvidence,
  type EvidencePage,
} from './CrashEvidence.js';
import { CRASH_LIFETIME_MS, CrashRecords, type Crash } from './CrashRecords.js';
import type { PromptPart } from './EnginePlacement.js';
import { partIdOf } from './PromptParts.js';

/** Prompt parts of which one crashes servers. */
export interface CrashingPart {
  /** The first of {@link suspects}, which stands for all of them. */
  readonly part: string;
  /** Parts of which at least one crashes servers. Only requests that have all of them are refused. */
  readonly suspects: readonly string[];
  /** Number of crashes that no other part explains. */
  readonly crashes: number;
  /** Time after which requests are sent to servers again, on the clock, in ms. */
  readonly endsAt: number;
}

/** The crashes that a part explains, in order. */
interface ExplainedCrashes {
  readonly all: readonly Crash[];
  /** The first crash of each moment. */
  readonly moments: readonly Crash[];
}

/** Shortest time between two searches for the cause of simultaneous crashes, in ms. */
const DECISION_INTERVAL_MS = 100;

/** Maximum number of crashes that are read from one message. */
const MAX_MERGED_CRASHES = 48;

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
  private readonly records: CrashRecords;

  private found: ReadonlyMap<string, CrashingPart> = new Map();

  /** Time of the last complete response to any request, also of peers, on the clock. */
  private lastCompletionAt = -Infinity;

  /** Same for requests of this process only, which alone is passed on: the ages of others would drift. */
  private lastOwnCompletionAt = -Infinity;

  /** Whether further complete responses may show that a part caused simultaneous crashes. */
  private isUndecided = false;

  /** On the clock, in ms. */
  private updatedAt = -Infinity;

  /** What the next message to the peers carries; undefined until it is chosen. */
  private page: EvidencePage | undefined;

  private position = FIRST_POSITION;

  private readonly foundEmitter = new Emitter<CrashingPart>();

  private readonly clearedEmitter = new Emitter<CrashingPart>();

  /** Fired when a part is found, and again when its suspects change. */
  readonly onFound = this.foundEmitter.event;

  /** Fired when a part no longer counts as crashing servers. */
  readonly onCleared = this.clearedEmitter.event;

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {
    this.records = new CrashRecords(clock);
  }

  /** Number of parts of crashes that are remembered. */
  get size(): number {
    return this.records.partCount;
  }

  /** The parts found, by id. */
  get parts(): ReadonlyMap<string, CrashingPart> {
    return this.found;
  }

  /**
   * Evidence to send to peers, as much of it as fits in a message; the rest follows after
   * {@link recordSent}.
   */
  get evidence(): CrashEvidence {
    if (this.records.removeExpired()) this.update();
    const now = this.clock.now();
    const crashes = this.reportedCrashes();
    this.page ??= this.choosePage(crashes);
    const { crashes: chosen, completed } = this.page;
    return {
      crashes: [...chosen].map(([index, parts]) => toRecord(crashes[index]!, [...parts], now)),
      completed: Object.fromEntries(
        completed.map((part) => [part, now - this.records.lastCompletion(part)]),
      ),
      ...ageOf(this.lastOwnCompletionAt, now),
    };
  }

  /** Continues with the next part of the evidence. Called when it was sent to the peers. */
  recordSent(): void {
    if (this.page) this.position = this.page.next;
    this.page = undefined;
  }

  /**
   * @param part - id of a part found
   * @returns evidence to store: the crashes that the part explains, without the parts that are known
   *   to be sound
   */
  evidenceAgainst(part: string): CrashEvidence {
    const now = this.clock.now();
    const explained = this.explainedCrashes().get(part);
    const parts = this.found.get(part)?.suspects ?? [];
    const crashes = explained ? decisiveCrashes(explained) : [];
    return {
      crashes: crashes.map((crash) => toRecord(crash, parts, now)),
      completed: {},
      ...ageOf(this.lastCompletionAt, now),
    };
  }

  /**
   * @param partIds - ids of the shared parts of a request
   * @returns a part because of which the request must not be sent to a server, if there is one
   */
  findIn(partIds: readonly string[]): CrashingPart | undefined {
    if (this.found.size === 0) return undefined;
    const ids = new Set(partIds.map(partIdOf));
    // Parts that are suspected together share an entry.
    const causes = new Set([...ids].map((id) => this.found.get(id)));
    return [...causes].find((cause) => cause?.suspects.every((suspect) => ids.has(suspect)));
  }

  /**
   * Records that a server ended while the response to a request began.
   * @param server - identifies the incarnation of the server
   * @param partIds - ids of the shared parts of the request
   */
  recordCrash(server: string, partIds: readonly string[]): void {
    this.records.addCrash(server, this.clock.now(), partIds.map(partIdOf), true);
    // The newest crash that this process saw is the first.
    this.position = { ...this.position, crash: 0, part: 0 };
    this.update();
  }

  /**
   * Records that the response to a request was completed.
   * @param partIds - ids of the shared parts of the request
   */
  recordCompletion(partIds: readonly string[]): void {
    const now = this.clock.now();
    const cleared = partIds
      .map(partIdOf)
      .filter((part) => this.records.setCompleted(part, { at: now, isOwn: true }));
    this.lastCompletionAt = now;
    this.lastOwnCompletionAt = now;
    if (cleared.length > 0 || this.isDecisionDue) this.update();
  }

  /** Adds the evidence of a peer or of the store. */
  merge({ crashes, completed, lastCompletionAgeMs = Infinity }: CrashEvidence): void {
    const now = this.clock.now();
    this.lastCompletionAt = Math.max(this.lastCompletionAt, now - lastCompletionAgeMs);
    const cleared = Object.entries(completed).filter(([id, ageMs]) =>
      this.records.setCompleted(partIdOf(id), { at: now - ageMs, isOwn: false }),
    );
    const added = crashes
      .slice(0, MAX_MERGED_CRASHES)
      .filter(({ server, ageMs, parts }) =>
        this.records.addCrash(server, now - ageMs, parts.map(partIdOf), false),
      );
    if (cleared.length > 0 || added.length > 0 || this.isDecisionDue) this.update();
  }

  /** Whether to look again for the cause of simultaneous crashes. */
  private get isDecisionDue(): boolean {
    return this.isUndecided && this.clock.now() - this.updatedAt >= DECISION_INTERVAL_MS;
  }

  /** Determines the parts anew from the remaining evidence. */
  private update(): void {
    this.updatedAt = this.clock.now();
    const explained = this.explainedCrashes();
    const found = this.findCauses(explained);
    const previous = causesIn(this.found);
    const current = causesIn(found);
    this.found = found;
    this.page = undefined;
    this.isUndecided = [...explained].some(
      ([part, { all }]) => !found.has(part) && this.isSuspectOfGroup(part, all),
    );
    this.records.limit(() => this.decisiveCrashes(explained));
    previous.forEach((cause, id) => !current.has(id) && this.clearedEmitter.fire(cause));
    current.forEach((cause, id) => {
      const known = previous.get(id);
      if (known?.suspects.length !== cause.suspects.length) this.foundEmitter.fire(cause);
    });
  }

  /** @returns causes by part; parts that explain the same crashes share one */
  private findCauses(
    explained: ReadonlyMap<string, ExplainedCrashes>,
  ): ReadonlyMap<string, CrashingPart> {
    const causes = new Map<string, CrashingPart>();
    const found = new Map<string, CrashingPart>();
    explained.forEach((crashes, part) => {
      if (!this.isCause(part, crashes)) return;
      const key = JSON.stringify(crashes.all.map(({ server }) => server));
      const cause = causes.get(key) ?? this.toCrashingPart(crashes);
      causes.set(key, cause);
      found.set(part, cause);
    });
    return found;
  }

  /** @returns crashes that each part explains, by part id */
  private explainedCrashes(): Map<string, ExplainedCrashes> {
    const explained = new Map<string, { all: Crash[]; moments: Crash[] }>();
    this.records.all
      .sort((left, right) => left.at - right.at)
      .forEach((crash) =>
        this.records.suspectsOf(crash).forEach((part) => {
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
    return crashes.length >= MIN_SIMULTANEOUS_CRASHES && !this.records.hasCompleted(part);
  }

  private toCrashingPart(explained: ExplainedCrashes): CrashingPart {
    const { all, moments } = explained;
    const crashes = moments.length >= MIN_CRASHES ? moments : all;
    const suspects = commonSuspects(crashes.map((crash) => this.records.suspectsOf(crash)));
    return {
      part: suspects[0]!,
      suspects,
      crashes: crashes.length,
      endsAt: decisiveCrashes(explained)[0]!.at + CRASH_LIFETIME_MS,
    };
  }

  /** @returns the crashes because of which requests are refused */
  private decisiveCrashes(explained: ReadonlyMap<string, ExplainedCrashes>): ReadonlySet<Crash> {
    return new Set(
      [...this.found.keys()].flatMap((part) => {
        const crashes = explained.get(part);
        return crashes ? decisiveCrashes(crashes) : [];
      }),
    );
  }

  /** Crashes in the order in which they are sent: peers repeat what others saw. */
  private reportedCrashes(): Crash[] {
    return this.records.all
      .sort((left, right) => right.at - left.at)
      .sort((left, right) => Number(right.isOwn) - Number(left.isOwn));
  }

  private choosePage(crashes: readonly Crash[]): EvidencePage {
    // Parts with a later response are cleared for the peers by its age.
    const reported = crashes.map((crash) => {
      const parts = this.records.unclearedParts(crash);
      return { server: crash.server, parts, common: this.records.commonParts(parts) };
    });
    return evidencePage(reported, this.records.ownCompletions, this.position);
  }
}

function toRecord({ server, at }: Crash, parts: readonly string[], now: number) {
  return { server, ageMs: now - at, parts: [...parts] };
}

/** @returns the age of the last complete response, if there is one */
function ageOf(at: number, now: number): Pick<CrashEvidence, 'lastCompletionAgeMs'> {
  return at > -Infinity ? { lastCompletionAgeMs: now - at } : {};
}

/** @returns causes by the part that stands for each one */
function causesIn(found: ReadonlyMap<string, CrashingPart>): ReadonlyMap<string, CrashingPart> {
  return new Map([...found.values()].map((cause) => [cause.part, cause]));
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
  const sets = others.map((list) => new Set(list));
  return first.filter((id) => sets.every((set) => set.has(id)));
}

/** @returns the latest crashes that suffice to refuse requests with the part that explains them */
function decisiveCrashes({ all, moments }: ExplainedCrashes): readonly Crash[] {
  return moments.length >= MIN_CRASHES
    ? moments.slice(-MIN_CRASHES)
    : all.slice(-MIN_SIMULTANEOUS_CRASHES);
}
