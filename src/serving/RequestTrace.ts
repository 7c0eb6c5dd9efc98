/**
 * Records the progress of one request: for its log entry, and for the status of its response if it
 * ends early.
 */
export class RequestTrace {
  private hasReachedServer = false;

  private readonly steps: string[] = [];

  /** @param receivedAt - arrival of the request, on the clock */
  constructor(private readonly receivedAt: number) {}

  /** Whether a backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasReachedServer;
  }

  /** Completed steps in order, each with the age of the request in ms at that time. */
  get timeline(): string {
    return this.steps.join(' ');
  }

  setMayHaveRun(mayHaveRun: boolean): void {
    this.hasReachedServer = mayHaveRun;
  }

  /** Records that a step has ended. */
  recordStep(step: string, now: number): void {
    this.steps.push(`${step}@${Math.round(now - this.receivedAt)}`);
  }
}
