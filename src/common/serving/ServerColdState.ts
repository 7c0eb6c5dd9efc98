import type { BackendServer, ColdCapacity } from './ServingConfiguration.js';
import { StatedPeriod } from './StatedPeriod.js';

/** How a process learned that a server is cold. */
export type ColdSource = 'registration' | 'start' | 'response' | 'refusal' | 'unreadable' | 'peer';

/**
 * Time without a statement after the end of a period from which on the next one in a response begins
 * another period, in ms. Unlike rows, responses need not say that a server is not cold.
 */
const RESPONSE_GAP_MS = 4000;

/** What a process knows about the cold periods of a server since one start of it. */
export class ServerColdState {
  /** Whether requests to the server may be limited; cleared after the ramp. */
  isActive = false;

  /** Whether the server is registered. */
  isRegistered = true;

  /** What the process learned last. */
  source: ColdSource = 'registration';

  /** Time of the last change, on the clock, in ms. */
  changedAt = -Infinity;

  private readonly row = new StatedPeriod(Infinity);

  private readonly responses = new StatedPeriod(RESPONSE_GAP_MS);

  private startSeenAt = -Infinity;

  /** Age of the start when it was seen, in ms. */
  private startAgeMs = 0;

  /** Time at which the server accepted requests again, on the clock, in ms. */
  private acceptedAt = -Infinity;

  /** Time of the first statement that could not be read, on the clock, in ms. */
  private unreadableSince: number | undefined;

  /** Time of the last refused connection since which no response came, on the clock, in ms. */
  private refusedAt = -Infinity;

  private peerEndsAt = -Infinity;

  private rampFrom = -Infinity;

  /** Whether the server was cold at the last {@link observe}. */
  private wasCold = false;

  /** @param server - current registration; undefined if only a peer has named the server */
  constructor(public server: BackendServer | undefined) {}

  /** Records that the server was seen to start, or to have started some time ago, in ms. */
  recordStart(now: number, ageMs: number): void {
    this.startSeenAt = now;
    this.startAgeMs = ageMs;
    this.change('start', now);
  }

  /** Records a registration. @returns whether its statement is capped for the first time */
  recordRow(leftMs: number, now: number): boolean {
    if (leftMs > 0) this.change('registration', now);
    return this.row.record(leftMs, now);
  }

  /** Records a statement in a response. @returns whether it is capped for the first time */
  recordResponse(leftMs: number, now: number): boolean {
    if (leftMs > 0) this.change('response', now);
    return this.responses.record(leftMs, now);
  }

  /** Records a statement that cannot be read. @returns whether it is the first one */
  recordUnreadable(now: number): boolean {
    if (this.unreadableSince !== undefined) return false;
    this.unreadableSince = now;
    this.change('unreadable', now);
    return true;
  }

  /** Records that the server refused a connection. */
  recordRefusal(now: number): void {
    this.refusedAt = now;
    this.change('refusal', now);
  }

  /** Records any response: a server that refused connections until recently has restarted. */
  recordAccepted({ durationMs }: ColdCapacity, now: number): void {
    const isRestart = now - this.refusedAt < durationMs;
    this.refusedAt = -Infinity;
    if (!isRestart) return;
    this.acceptedAt = now;
    this.change('refusal', now);
  }

  /** Records what a peer knows. */
  recordPeer(endsAt: number, now: number): void {
    if (endsAt <= this.peerEndsAt) return;
    this.peerEndsAt = endsAt;
    if (!this.isActive) this.change('peer', now);
  }

  /** Starts a ramp although the server may not have been cold. */
  recordRamp(now: number): void {
    this.rampFrom = now;
    this.isActive = true;
    this.changedAt = now;
  }

  /** Takes over what peers said about the server before its start was known. */
  inherit(previous: ServerColdState | undefined): void {
    if (previous) this.recordPeer(previous.peerEndsAt, previous.changedAt);
  }

  /**
   * @param capacity - what the service specifies
   * @returns end of the cold period, without what peers said, on the clock, in ms
   */
  ownEndsAt({ durationMs }: ColdCapacity): number {
    const isRecentStart = this.startAgeMs < durationMs;
    return Math.max(
      this.row.endsAt,
      this.responses.endsAt,
      isRecentStart ? this.startSeenAt + durationMs : -Infinity,
      this.acceptedAt + durationMs,
      (this.unreadableSince ?? -Infinity) + durationMs,
      this.refusedAt + durationMs,
    );
  }

  /** @returns time since the end of the cold period, in ms; negative while the server is cold */
  sinceEndMs(capacity: ColdCapacity, now: number): number {
    return now - Math.max(this.ownEndsAt(capacity), this.peerEndsAt);
  }

  /** @returns time since the end of the cold period or the start of a ramp, in ms */
  sinceRampMs(capacity: ColdCapacity, now: number): number {
    return Math.min(this.sinceEndMs(capacity, now), now - this.rampFrom);
  }

  /** Records whether the server is cold now. @returns whether that has changed */
  observe(isCold: boolean): boolean {
    const hasChanged = isCold !== this.wasCold;
    this.wasCold = isCold;
    return hasChanged;
  }

  /** Records that requests to the server are not limited any more. */
  end(): void {
    this.isActive = false;
  }

  private change(source: ColdSource, now: number): void {
    this.source = source;
    this.isActive = true;
    this.changedAt = now;
  }
}
