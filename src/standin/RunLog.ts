import type { RunRecord } from './Faults.js';
import type { WorkLabels } from './http/Call.js';
import type { Counter } from './Types.js';

/** Number of runs listed at most. Totals also include older runs. */
const MAX_RUNS = 50_000;

/**
 * Runs of a backend stand-in and their totals per client account. Tests compare cost reports with
 * these totals.
 */
export class RunLog {
  private runs: RunRecord[] = [];

  private startedCount = 0;

  private finishedCount = 0;

  private readonly acceleratorMs: Record<string, number> = {};

  private readonly runsByAccount: Record<string, number> = {};

  /**
   * Records the start of a run.
   * @param labels - identifiers of the call
   * @param operation - name of the operation
   * @returns the run, to be passed to the other methods
   */
  start(labels: WorkLabels, operation: string): RunRecord {
    const run: RunRecord = {
      ...labels,
      operation,
      startedAt: Date.now(),
      finished: false,
      acceleratorMs: 0,
    };
    this.runs.push(run);
    this.startedCount += 1;
    this.runsByAccount[labels.account] = (this.runsByAccount[labels.account] ?? 0) + 1;
    if (this.runs.length > 2 * MAX_RUNS) this.runs = this.runs.slice(-MAX_RUNS);
    return run;
  }

  /**
   * Adds busy time to a run.
   * @param run - run returned by {@link start}
   * @param acceleratorMs - busy time, in milliseconds
   */
  charge(run: RunRecord, acceleratorMs: number): void {
    const target = run;
    target.acceleratorMs += acceleratorMs;
    this.acceleratorMs[run.account] = (this.acceleratorMs[run.account] ?? 0) + acceleratorMs;
  }

  /**
   * Records the end of a run.
   * @param run - run returned by {@link start}
   */
  finish(run: RunRecord): void {
    const target = run;
    target.finished = true;
    this.finishedCount += 1;
  }

  /** @returns the newest runs, oldest first */
  list(): readonly RunRecord[] {
    return this.runs.slice(-MAX_RUNS);
  }

  /** @returns number of runs and busy time in milliseconds, in total and per client account */
  counters(): Record<string, Counter> {
    return {
      runs: this.startedCount,
      runsFinished: this.finishedCount,
      runsByAccount: this.runsByAccount,
      acceleratorMs: this.acceleratorMs,
    };
  }
}
