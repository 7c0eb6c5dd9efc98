import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { RequestCrashEvidence } from './RequestCrashEvidence.js';

/** A request that crashes servers. */
export interface CrashingRequest {
  readonly request: string;
  /** Number of servers that ended while they ran it and that no other request explains. */
  readonly crashes: number;
  /** Time after which it is sent to servers again, on the clock, in ms. */
  readonly endsAt: number;
}

/** A request that was lost in a crash. */
interface Loss {
  /** Time from the send to the crash, in ms. */
  readonly sinceSendMs: number;
  /** Whether this process sent the request. */
  readonly isOwn: boolean;
}

interface Crash {
  readonly server: string;
  /** On the clock, in ms. */
  at: number;
  /** By request. */
  readonly losses: Map<string, Loss>;
}

/** A crash as this process saw it or was told of it. */
interface ReportedCrash {
  readonly server: string;
  /** On the clock, in ms. */
  readonly at: number;
  /** Requests, and the time from the send to the crash, in ms. */
  readonly losses: readonly (readonly [string, number])[];
  /** Whether this process sent the requests. */
  readonly isOwn: boolean;
}

/** The last complete response to a request. */
interface Completion {
  /** On the clock, in ms. */
  readonly at: number;
  /** Whether this process sent the request. Others are not passed on: their ages would drift. */
  readonly isOwn: boolean;
}

/**
 * Number of servers that must end one after the other under a request before it is refused. Sends that
 * follow each other tell it from an outage, which ends many servers that had the request already.
 */
const MIN_SUCCESSIVE_CRASHES = 3;

/** Same for a request that is sent several times at once, and number of its crashes in all. */
const MIN_SUCCESSIVE_GROUPS = 2;
const MIN_CRASHES_OF_GROUPS = 4;

/** Number of crashes from which on a request should not run together with others. */
const SUSPECT_CRASHES = 2;

/** Crashes that are closer together count as one, in ms: a failure may end servers in quick succession. */
const MIN_CRASH_INTERVAL_MS = 50;

/** Difference with which processes see a crash, in ms. */
const TIME_TOLERANCE_MS = 10;

/** Crashes of a request found that are stored: enough for groups and for successive ones. */
const MAX_STORED_CRASHES = 6;

/** Time for which a crash counts, in ms, and thus for which requests are refused. */
const CRASH_LIFETIME_MS = 3_600_000;

/**
 * Time for which requests are refused that were lost with the same servers, in ms. At least one of them
 * crashes servers; when they are sent again, a further crash or a complete response tells which.
 */
const AMBIGUOUS_REFUSAL_MS = 10_000;

/** Maximum number of crashes that are remembered; those that refuse no requests go first. */
const MAX_CRASHES = 48;

/**
 * Maximum number of requests of one crash, about the requests that a server runs at once; those that
 * were lost with fewer servers go first.
 */
const MAX_REQUESTS_PER_CRASH = 64;

/**
 * Crashes of this age and below are sent to the peers each time, in ms, up to a number of them, with
 * the requests of this process.
 */
const RECENT_MS = 5000;
const MAX_RECENT_CRASHES = 6;

/** Maximum number of complete responses of that age that are sent to the peers each time. */
const MAX_RECENT_COMPLETIONS = 32;

/**
 * Number of crashes that are sent in turn with the suspects among their requests, for processes that
 * start or were cut off.
 */
const REPEATED_CRASHES = 2;

/**
 * Finds requests that crash every server that begins to run them.
 *
 * Handles the same request that comes again and again, at any process: evidence is exchanged with
 * all processes, because each sees only what it sent itself. Requests that ran beside it are lost with
 * the same servers; they are cleared by a complete response or by crashes that they had no part in.
 */
export class CrashingRequests {
  /** By server, in order of the crashes. */
  private readonly crashes = new Map<string, Crash>();

  /** The crashes in which each request was lost. */
  private readonly crashesByRequest = new Map<string, Set<Crash>>();

  /** By request, for those of the crashes. */
  private readonly completions = new Map<string, Completion>();

  private causes = new Map<string, CrashingRequest>();

  /** Requests that were lost with several servers. */
  private suspects: ReadonlySet<string> = new Set();

  private nextRepeated = 0;

  private readonly foundEmitter = new Emitter<CrashingRequest>();

  private readonly clearedEmitter = new Emitter<CrashingRequest>();

  /** Fired when a request is found. */
  readonly onFound = this.foundEmitter.event;

  /** Fired when a request no longer counts as crashing servers. */
  readonly onCleared = this.clearedEmitter.event;

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /** Whether a request was lost with a server, so that complete responses are of interest. */
  get isTracking(): boolean {
    return this.crashes.size > 0;
  }

  /**
   * @param request - id of a request
   * @returns why it must not be sent to a server now, if there is a reason
   */
  find(request: string): CrashingRequest | undefined {
    const cause = this.causes.get(request);
    return cause && cause.endsAt > this.clock.now() ? cause : undefined;
  }

  /** The requests found, by id. */
  get found(): ReadonlyMap<string, CrashingRequest> {
    return this.causes;
  }

  /** @returns whether the request should not share a call with others, because it may end the server */
  isSuspect(request: string): boolean {
    return this.suspects.has(request);
  }

  /** Evidence to send to peers; bounded, so that a part of it is sent in turn. */
  get evidence(): RequestCrashEvidence {
    this.removeExpired();
    const now = this.clock.now();
    const crashes = [...this.crashes.values()];
    const recent = crashes.filter(({ at }) => now - at <= RECENT_MS).slice(-MAX_RECENT_CRASHES);
    const first = crashes.length > 0 ? this.nextRepeated % crashes.length : 0;
    this.nextRepeated = first + REPEATED_CRASHES;
    const repeated = crashes.slice(first, this.nextRepeated);
    const isSent = (crash: Crash, request: string) =>
      (recent.includes(crash) && crash.losses.get(request)!.isOwn) ||
      (repeated.includes(crash) && this.suspects.has(request));
    return {
      crashes: this.toRecords([...new Set([...recent, ...repeated])], isSent),
      completed: this.recentCompletions(now),
    };
  }

  /** @returns evidence to store: the crashes of a request found */
  evidenceAgainst(request: string): RequestCrashEvidence {
    const crashes = this.crashesOf(request).slice(-MAX_STORED_CRASHES);
    return { crashes: this.toRecords(crashes, (_, id) => id === request), completed: {} };
  }

  /**
   * Records that a server ended while it ran a request.
   * @param server - identifies the incarnation of the server
   * @param request - id of the request
   * @param sinceSendMs - time since it was sent to the server, in ms
   */
  recordCrash(server: string, request: string, sinceSendMs: number): void {
    this.addCrash({ server, at: this.clock.now(), losses: [[request, sinceSendMs]], isOwn: true });
    this.update();
  }

  /** Records that the response to a request was completed. */
  recordCompletion(request: string): void {
    if (this.setCompleted(request, { at: this.clock.now(), isOwn: true })) this.update();
  }

  /** Adds the evidence of a peer or of the store. */
  merge({ crashes, completed }: RequestCrashEvidence): void {
    const now = this.clock.now();
    const added = crashes
      .slice(0, MAX_CRASHES)
      .filter(({ server, ageMs, requests: losses }) =>
        this.addCrash({ server, at: now - ageMs, losses, isOwn: false }),
      );
    const cleared = Object.entries(completed).filter(([request, ageMs]) =>
      this.setCompleted(request, { at: now - ageMs, isOwn: false }),
    );
    if (added.length > 0 || cleared.length > 0) this.update();
  }

  /** @returns whether the crash is new, earlier than known, or has further requests */
  private addCrash({ server, at, losses, isOwn }: ReportedCrash): boolean {
    if (at + CRASH_LIFETIME_MS <= this.clock.now()) return false;
    const crash = this.crashes.get(server) ?? { server, at, losses: new Map<string, Loss>() };
    const added = losses
      .slice(0, MAX_REQUESTS_PER_CRASH)
      .filter(([request]) => !crash.losses.has(request));
    const isEarlier = at < crash.at;
    // A message takes time, so the earliest estimate is the closest one.
    if (isEarlier) crash.at = at;
    if (added.length === 0) return isEarlier;
    this.crashes.set(server, crash);
    added.forEach(([request, sinceSendMs]) => {
      crash.losses.set(request, { sinceSendMs, isOwn });
      const known = this.crashesByRequest.get(request) ?? new Set();
      this.crashesByRequest.set(request, known.add(crash));
    });
    if (crash.losses.size > MAX_REQUESTS_PER_CRASH) this.limitLosses(crash);
    return true;
  }

  private limitLosses(crash: Crash): void {
    const crashCount = (request: string) => this.crashesByRequest.get(request)?.size ?? 0;
    [...crash.losses.keys()]
      .sort((left, right) => crashCount(right) - crashCount(left))
      .slice(MAX_REQUESTS_PER_CRASH)
      .forEach((request) => this.removeLoss(crash, request));
  }

  private removeLoss(crash: Crash, request: string): void {
    crash.losses.delete(request);
    const crashes = this.crashesByRequest.get(request);
    crashes?.delete(crash);
    if (crashes?.size !== 0) return;
    this.crashesByRequest.delete(request);
    this.completions.delete(request);
  }

  private removeCrash(crash: Crash): void {
    this.crashes.delete(crash.server);
    [...crash.losses.keys()].forEach((request) => this.removeLoss(crash, request));
  }

  /** @returns whether the request has no part in a crash any longer because of this response */
  private setCompleted(request: string, completion: Completion): boolean {
    if (completion.at <= (this.completions.get(request)?.at ?? -Infinity)) return false;
    if (!this.crashesByRequest.has(request)) return false;
    const isCleared = this.crashesOf(request).some(({ at }) => at < completion.at);
    // The latest ones are the last.
    this.completions.delete(request);
    this.completions.set(request, completion);
    return isCleared;
  }

  /** @returns crashes of a request that no complete response followed, in order */
  private crashesOf(request: string): Crash[] {
    const completedAt = this.completions.get(request)?.at ?? -Infinity;
    return [...(this.crashesByRequest.get(request) ?? [])]
      .filter(({ at }) => completedAt < at)
      .sort((left, right) => left.at - right.at);
  }

  private removeExpired(): void {
    const now = this.clock.now();
    const expired = [...this.crashes.values()].filter(({ at }) => now - at >= CRASH_LIFETIME_MS);
    expired.forEach((crash) => this.removeCrash(crash));
    if (expired.length > 0) this.update();
  }

  /** Determines the requests anew from the remaining evidence. */
  private update(): void {
    this.limitCrashes();
    const previous = this.causes;
    this.causes = this.findCauses();
    previous.forEach((request, id) => !this.causes.has(id) && this.clearedEmitter.fire(request));
    this.causes.forEach((request, id) => !previous.has(id) && this.foundEmitter.fire(request));
  }

  /** A crash counts only for the requests that were lost with the most servers. */
  private findCauses(): Map<string, CrashingRequest> {
    const suspects = [...this.crashesByRequest]
      .filter(([, { size }]) => size >= SUSPECT_CRASHES)
      .map(([request]) => ({ request, crashes: this.crashesOf(request) }))
      .filter(({ crashes }) => crashes.length >= SUSPECT_CRASHES);
    this.suspects = new Set(suspects.map(({ request }) => request));
    const candidates = suspects
      .filter(({ request, crashes }) => isCause(request, crashes))
      .sort((left, right) => right.crashes.length - left.crashes.length);
    const explained = new Map<Crash, number>();
    const causes = candidates
      .map(({ request, crashes }) => {
        const own = crashes.filter((crash) => (explained.get(crash) ?? 0) <= crashes.length);
        if (isCause(request, own)) own.forEach((crash) => explained.set(crash, crashes.length));
        return { request, crashes: own };
      })
      .filter(({ request, crashes }) => isCause(request, crashes));
    const isAmbiguous = (own: readonly Crash[], of: string) =>
      causes.some(
        ({ request, crashes }) =>
          request !== of && crashes.length === own.length && crashes.every((c) => own.includes(c)),
      );
    return new Map(
      causes.map(({ request, crashes }) => {
        const refusalMs = isAmbiguous(crashes, request) ? AMBIGUOUS_REFUSAL_MS : CRASH_LIFETIME_MS;
        const endsAt = crashes.at(-1)!.at + refusalMs;
        return [request, { request, crashes: crashes.length, endsAt }];
      }),
    );
  }

  private limitCrashes(): void {
    const excess = this.crashes.size - MAX_CRASHES;
    if (excess <= 0) return;
    const isNeeded = ({ losses }: Crash) =>
      [...losses.keys()].some((request) => this.causes.has(request));
    [...this.crashes.values()]
      .sort((left, right) => left.at - right.at)
      .sort((left, right) => Number(isNeeded(left)) - Number(isNeeded(right)))
      .slice(0, excess)
      .forEach((crash) => this.removeCrash(crash));
  }

  private recentCompletions(now: number): Record<string, number> {
    const recent = [...this.completions]
      .filter(([, { at, isOwn }]) => isOwn && now - at <= RECENT_MS)
      .slice(-MAX_RECENT_COMPLETIONS);
    return Object.fromEntries(recent.map(([request, { at }]) => [request, now - at]));
  }

  private toRecords(
    crashes: readonly Crash[],
    isSent: (crash: Crash, request: string) => boolean,
  ): RequestCrashEvidence['crashes'] {
    const now = this.clock.now();
    return crashes
      .map((crash) => ({
        server: crash.server,
        ageMs: now - crash.at,
        requests: [...crash.losses]
          .filter(([request]) => isSent(crash, request))
          .map(([request, { sinceSendMs }]): [string, number] => [request, sinceSendMs]),
      }))
      .filter(({ requests }) => requests.length > 0);
  }
}

/** Whether a request was sent to servers one after the other, each of which ended. */
function isCause(request: string, crashes: readonly Crash[]): boolean {
  let successive = 0;
  let lastAt = -Infinity;
  crashes.forEach(({ at, losses }) => {
    const sentAt = at - (losses.get(request)?.sinceSendMs ?? Infinity);
    if (sentAt < lastAt - TIME_TOLERANCE_MS || at < lastAt + MIN_CRASH_INTERVAL_MS) return;
    successive += 1;
    lastAt = at;
  });
  if (successive >= MIN_SUCCESSIVE_CRASHES) return true;
  return successive >= MIN_SUCCESSIVE_GROUPS && crashes.length >= MIN_CRASHES_OF_GROUPS;
}
