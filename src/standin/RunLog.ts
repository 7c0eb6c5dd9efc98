import type { Run } from './Faults.js';
import type { WorkLabels } from './http/Call.js';
import type { Counter } from './Types.js';

/** Runs listed at most; totals stay complete when older runs are dropped. */
const MAX_RUNS = 50_000;

/** Runs of a backend stand-in and totals per client account: the meter that cost reports are checked against. */
export class RunLog {
  private runs: Run[] = [];

  private started = 0;

  private finished = 0;

  private readonly acceleratorMs: Record<string, number> = {};

  private readonly runsByAccount: Record<string, number> = {};

  /**
   * Records that work begins.
   * @param labels - whose work it is
   * @param operation - what is run
   * @returns the run, to be passed to the other methods
   */
  start(labels: WorkLabels, operation: string): Run {
    const run: Run = {
      ...labels,
      operation,
      startedAt: Date.now(),
      finished: false,
      acceleratorMs: 0,
    };
    this.runs.push(run);
    this.started += 1;
    this.runsByAccount[labels.account] = (this.runsByAccount[labels.account] ?? 0) + 1;
    if (this.runs.length > 2 * MAX_RUNS) this.runs = this.runs.slice(-MAX_RUNS);
    return run;
  }

  /**
   * Adds busy time to a run.
   * @param run - run that was started
   * @param acceleratorMs - busy time, in milliseconds
   */
  charge(run: Run, acceleratorMs: number): void {
    const target = run;
    target.acceleratorMs += acceleratorMs;
    this.acceleratorMs[run.account] = (this.acceleratorMs[run.account] ?? 0) + acceleratorMs;
  }

  /** @param run - run that is complete */
  finish(run: Run): void {
    const target = run;
    target.finished = true;
    this.finished += 1;
  }

  /** @returns the newest runs, oldest first. */
  list(): readonly Run[] {
    return this.runs.slice(-MAX_RUNS);
  }

  /** @returns number of runs and busy time per client account. */
  counters(): Record<string, Counter> {
    return {
      runs: this.started,
      runsFinished: this.finished,
      runsByAccount: this.runsByAccount,
      acceleratorMs: this.acceleratorMs,
    };
  }
}
