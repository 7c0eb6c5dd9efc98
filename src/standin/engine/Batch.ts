import { performance } from 'node:perf_hooks';
import { Emitter } from '../../common/events/Emitter.js';
import type { FaultState } from '../FaultState.js';
import type { RunLog } from '../RunLog.js';
import type { Counter } from '../Types.js';
import type { EngineRun } from './EngineRun.js';
import type { PromptCache } from './PromptCache.js';
import type { EngineOptions } from './Types.js';

const MS_PER_SECOND = 1000;
/**
 * Steps that are overdue by more restart from now, so that a paused process emits no burst of
 * tokens.
 */
const MAX_CATCH_UP_MS = 100;

/** Part of one completion in a step. */
interface StepPart {
  readonly run: EngineRun;
  /** Number of prompt tokens processed; 0 if a token is generated. */
  readonly promptTokens: number;
  /** Share of the step's busy time, in milliseconds. */
  readonly busyMs: number;
}

interface Step {
  readonly parts: readonly StepPart[];
  readonly busyMs: number;
  /** End of the step on the monotonic clock, in milliseconds. */
  readonly endsAt: number;
}

/**
 * Runs completions with continuous batching: completions join and leave the batch between steps.
 * Each step processes prompt tokens of new completions and generates one token of each other
 * completion.
 */
export class Batch {
  /** Fired when the number of running or waiting completions may have changed. */
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
    /** Total delay of steps that started late because this process was busy, in milliseconds. */
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

  /**
   * Queues a completion. Completions are ordered by priority (highest first), then by arrival.
   * @param run - completion to run
   */
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
   * Cancels a completion. If it takes part in a step, it is charged for the step and leaves at its
   * end.
   * @param run - completion passed to {@link add}
   */
  cancel(run: EngineRun): void {
    const target = run;
    if (run.hasEnded) return;
    const position = this.waitingRuns.indexOf(run);
    if (position >= 0) this.waitingRuns.splice(position, 1);
    target.isUsageFinal = position >= 0;
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
    this.admitWaiting();
    if (this.active.length === 0) {
      this.step = undefined;
      return;
    }
    const parts = this.planParts();
    const busyMs = parts.reduce((sum, part) => sum + part.busyMs, 0);
    this.step = { parts, busyMs, endsAt: at + busyMs };
  }

  private schedule(): void {
    if (!this.step) return;
    const delayMs = this.step.endsAt - performance.now();
    this.timer = setTimeout(() => this.finishDueSteps(), delayMs);
  }

  private admitWaiting(): void {
    while (this.active.length < this.options.slots) {
      const run = this.waitingRuns.shift();
      if (!run) return;
      const { model, prompt } = run.request;
      const cached = this.cache.cachedTokens(model, prompt);
      // The last prompt token is always processed, because its output is the first new token.
      run.promptTokensLeft = Math.max(1, run.promptTokens - cached);
      run.state = 'running';
      run.runRecord = this.runLog.start(run.labels, 'completions');
      this.counts.promptTokens += run.promptTokens;
      this.counts.promptTokensCached += run.promptTokens - run.promptTokensLeft;
      this.active.push(run);
    }
  }

  private planParts(): StepPart[] {
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
    step.parts.forEach((part) => this.finishPart(part));
    const participants = this.active;
    this.active = participants.filter((run) => !run.hasEnded);
    participants.forEach((run) => {
      Object.assign(run, { isUsageFinal: run.hasEnded });
      run.progress.fire();
    });
  }

  private finishPart({ run, promptTokens, busyMs }: StepPart): void {
    const target = run;
    if (run.runRecord) this.runLog.charge(run.runRecord, busyMs);
    if (run.state === 'cancelled') return;
    target.promptTokensLeft -= promptTokens;
    if (run.promptTokensLeft > 0) return;
    if (promptTokens > 0) this.cache.store(run.request.model, run.request.prompt);
    this.counts.tokensGenerated += 1;
    if (!run.generateToken()) return;
    target.state = 'finished';
    if (run.runRecord) this.runLog.finish(run.runRecord);
  }
}

function priorityOf(run: EngineRun): number {
  return run.request.priority ?? 0;
}
