/** What happened to a request so far, for the answer that it gets when its time is over. */
export class RequestTrace {
  private hasReachedServer = false;

  /** True if a backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasReachedServer;
  }

  mark(mayHaveRun: boolean): void {
    this.hasReachedServer = mayHaveRun;
  }
}
