/** What happened to a request so far: for its log line, and for the answer when its time is over. */
export class RequestTrace {
  private hasReachedServer = false;

  private readonly steps: string[] = [];

  /** @param receivedAt - arrival of the request, on the clock */
  constructor(private readonly receivedAt: number) {}

  /** True if a backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasReachedServer;
  }

  /** Steps with their ages in ms, in order. */
  get timeline(): string {
    return this.steps.join(' ');
  }

  mark(mayHaveRun: boolean): void {
    this.hasReachedServer = mayHaveRun;
  }

  /** Notes that a step ended. */
  note(step: string, now: number): void {
    this.steps.push(`${step}@${Math.round(now - this.receivedAt)}`);
  }
}
