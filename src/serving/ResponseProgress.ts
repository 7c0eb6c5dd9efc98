import type { Clock } from '../common/time/Types.js';

/** Time after the first event in which a response counts as beginning, in ms. */
const BEGINNING_MS = 500;

/** Tracks how far the response to one attempt to forward a request has come. */
export class ResponseProgress {
  private readonly sentAt: number;

  private headAt: number | undefined;

  private firstEventAt: number | undefined;

  private eventCount = 0;

  /** @param clock - time source; the attempt starts now */
  constructor(private readonly clock: Clock) {
    this.sentAt = clock.now();
  }

  /** Number of events that were forwarded to the caller. */
  get events(): number {
    return this.eventCount;
  }

  /** Whether no event was forwarded yet, or the first one only just now. */
  get isBeginning(): boolean {
    return this.firstEventAt === undefined || this.clock.now() - this.firstEventAt < BEGINNING_MS;
  }

  /** Time since the attempt started, in ms. */
  get runMs(): number {
    return this.clock.now() - this.sentAt;
  }

  /** Time from the start of the attempt to the head of the response, in ms. */
  get headMs(): number | undefined {
    return this.headAt === undefined ? undefined : this.headAt - this.sentAt;
  }

  /** Time from the start of the attempt to the first event, in ms. */
  get firstEventMs(): number | undefined {
    return this.firstEventAt === undefined ? undefined : this.firstEventAt - this.sentAt;
  }

  /** Called when the head of the response has arrived. */
  recordHead(): void {
    this.headAt ??= this.clock.now();
  }

  /** Called with the number of events that are forwarded together. */
  recordEvents(count: number): void {
    this.firstEventAt ??= this.clock.now();
    this.eventCount += count;
  }
}
