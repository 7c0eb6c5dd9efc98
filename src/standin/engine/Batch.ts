import { performance } from 'node:perf_hooks';
import { Emitter } from '../../common/events/Emitter.js';
import type { FaultState } from '../FaultState.js';
import type { RunLog } from '../RunLog.js';
import type { Counter } from '../Types.js';
import type { EngineRun } from './EngineRun.js';
import type { PromptCache } from './PromptCache.js';
import type { EngineOptions } from './Types.js';

const MS_PER_SECOND = 1000;
/** Steps that are overdue by more start from now, so that a paused process emits no burst. */
const MAX_CATCH_UP_MS = 100;

/** Work of one completion in one step. */
interface StepShare {
  readonly run: EngineRun;
  /** Prompt tokens processed; 0 if a token is generated. */
  readonly promptTokens: number;
  /** Share of the step's busy time, in milliseconds. */
  readonly busyMs: number;
}

interface Step {
  readonly shares: readonly StepShare[];
  readonly busyMs: number;
  /** End on the monotonic clock. */
  readonly endsAt: number;
}

/**
 * Continuous batching: completions join and leave between steps. Each step processes prompt tokens of
 * new completions and generates one token of each other completion.
 */
export class Batch {
  /** Fires when the number of running or waiting completions has changed. */
  readonly loadChange = new Emitter<void>();

  private readonly waitingRuns: EngineRun[] = [];

  private active: EngineRun[] = [];

  private step: Step | undefined;

  private timer: NodeJS.Timeout | undefined;

  private readonly counts = {
    busyMs: 0,
    steps: 0,
    tokensGenerated: 0,
    promptTokens: 0,
    promptTokensCached: 0,
    /** Delay of steps because this process was busy. */
    lateMs: 0,
  };

  constructor(
    private readonly options: EngineOptions,
    private readonly state: FaultState,
    private readonly cache: PromptCache,
    private readonly runLog: RunLog,
  ) {}

  get running(): number {
    return this.active.length;
  }

  get waiting(): number {
    return this.waitingRuns.length;
  }

  /** @param run - completion to run; a higher priority goes first, then the earlier arrival */
  add(run: EngineRun): void {
    const priority = priorityOf(run);
    const position = this.waitingRuns.findIndex((other) => priorityOf(other) < priority);
    this.waitingRuns.splice(position < 0 ? this.waitingRuns.length : position, 0, run);
    if (!this.step) {
      this.startStep(performance.now());
      this.schedule();
    }
    this.loadChange.fire();
  }

  /**
   * Ends a completion early. One that takes part in a step is charged for the step and leaves then.
   * @param run - completion that was added
   */
  cancel(run: EngineRun): void {
    const target = run;
    if (run.isOver) return;
    const position = this.waitingRuns.indexOf(run);
    if (position >= 0) this.waitingRuns.splice(position, 1);
    target.isSettled = position >= 0;
    target.state = 'cancelled';
    run.progress.fire();
    this.loadChange.fire();
  }

  counters(): Record<string, Counter> {
    return { running: this.running, waiting: this.waiting, ...this.counts };
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  private startStep(at: number): void {
    this.admit();
    if (this.active.length === 0) {
      this.step = undefined;
      return;
    }
    const shares = this.planShares();
    const busyMs = shares.reduce((sum, share) => sum + share.busyMs, 0);
    this.step = { shares, busyMs, endsAt: at + busyMs };
  }

  private schedule(): void {
    if (!this.step) return;
    const delayMs = this.step.endsAt - performance.now();
    this.timer = setTimeout(() => this.finishDueSteps(), delayMs);
  }

  private admit(): void {
    while (this.active.length < this.options.slots) {
      const run = this.waitingRuns.shift();
      if (!run) return;
      const { model, prompt } = run.request;
      const cached = this.cache.cachedTokens(model, prompt);
      // The last prompt token is always processed, because it gives the first new token.
      run.promptTokensLeft = Math.max(1, run.promptTokens - cached);
      run.state = 'running';
      run.record = this.runLog.start(run.labels, 'completions');
      this.counts.promptTokens += run.promptTokens;
      this.counts.promptTokensCached += run.promptTokens - run.promptTokensLeft;
      this.active.push(run);
    }
  }

  private planShares(): StepShare[] {
    const { slowFactor } = this.state.faults;
    const { promptTokensPerSecond, tokensPerSecond, batchGrowth } = this.options;
    const promptTokenMs = (MS_PER_SECOND / promptTokensPerSecond) * slowFactor;
    const decoding = this.active.filter((run) => run.promptTokensLeft === 0);
    const growth = 1 + batchGrowth * (decoding.length - 1);
    const decodeMs = (MS_PER_SECOND / tokensPerSecond) * growth * slowFactor;
    let promptBudget = this.options.promptTokensPerStep;
    return this.active.flatMap((run) => {
      if (run.promptTokensLeft === 0) {
        return [{ run, promptTokens: 0, busyMs: decodeMs / decoding.length }];
      }
      const promptTokens = Math.min(promptBudget, run.promptTokensLeft);
      promptBudget -= promptTokens;
      return promptTokens > 0 ? [{ run, promptTokens, busyMs: promptTokens * promptTokenMs }] : [];
    });
  }

  private finishDueSteps(): void {
    const now = performance.now();
    while (this.step && this.step.endsAt <= now) {
      const { endsAt } = this.step;
      this.finishStep(this.step);
      const lateMs = now - endsAt;
      if (lateMs > MAX_CATCH_UP_MS) this.counts.lateMs += lateMs;
      this.startStep(lateMs > MAX_CATCH_UP_MS ? now : endsAt);
    }
    this.schedule();
    this.loadChange.fire();
  }

  private finishStep(step: Step): void {
    this.counts.steps += 1;
    this.counts.busyMs += step.busyMs;
    step.shares.forEach((share) => this.finishShare(share));
    const members = this.active;
    this.active = members.filter((run) => !run.isOver);
    members.forEach((run) => {
      Object.assign(run, { isSettled: run.isOver });
      run.progress.fire();
    });
  }

  private finishShare({ run, promptTokens, busyMs }: StepShare): void {
    const target = run;
    if (run.record) this.runLog.charge(run.record, busyMs);
    if (run.state === 'cancelled') return;
    target.promptTokensLeft -= promptTokens;
    if (run.promptTokensLeft > 0) return;
    if (promptTokens > 0) this.cache.store(run.request.model, run.request.prompt);
    this.counts.tokensGenerated += 1;
    if (!run.generate()) return;
    target.state = 'finished';
    if (run.record) this.runLog.finish(run.record);
  }
}

function priorityOf(run: EngineRun): number {
  return run.request.priority ?? 0;
}
