import type { ForwardOutcome } from './ForwardOutcome.js';

/** A failure that a backend server answered with. */
export type ServerError = Extract<ForwardOutcome, { kind: 'server-error' }>;

/** What was tried for one request. */
export class Progress {
  /** Servers that were chosen, those that could not be reached included. */
  sends = 0;

  /** Servers that may have run the request. */
  runs = 0;

  /** Servers that the request reached. */
  arrivals = 0;

  readonly tried = new Set<string>();

  lastError: ServerError | undefined;

  /** @param lastEventId - last event of the stream that the caller has */
  constructor(public lastEventId: string | undefined) {}

  noteSend(serverId: string): void {
    this.sends += 1;
    this.tried.add(serverId);
  }

  noteOutcome(outcome: ForwardOutcome): void {
    if (outcome.kind !== 'unsent') this.arrivals += 1;
    if (outcome.kind === 'interrupted') this.lastEventId = outcome.lastEventId;
    if (outcome.kind === 'server-error') this.lastError = outcome;
  }

  noteRun(): void {
    this.runs += 1;
  }
}
