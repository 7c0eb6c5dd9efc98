import { LaggedValue } from '../LaggedValue.js';
import { RunLog } from '../RunLog.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { SERVICE_MS_HEADER, type BackendUsage } from '../../common/protocol/Backend.js';
import type { FaultState } from '../FaultState.js';
import type { Run } from '../Faults.js';
import type { Call } from '../http/Call.js';
import { drawServiceTime, type ServiceTimeSettings } from '../ServiceTime.js';
import type { Answer, Counter, Route, Service } from '../Types.js';
import { SlotPool, type SlotWork } from './SlotPool.js';

/** Options of {@link WorkService}. */
export interface WorkOptions {
  readonly slots: number;
  readonly serviceTime: ServiceTimeSettings;
  readonly seed: number;
}

/** What a backend server does for one call. */
export interface Work {
  /** Recorded in the run. */
  readonly operation: string;
  /**
   * Makes the body of the answer.
   * @param usage - usage of this run
   */
  readonly createBody: (usage: BackendUsage) => unknown;
  readonly promptTokens: number;
  /** Called when the run starts. */
  readonly onStart?: () => void;
}

/** Finds the work of a call; undefined if the path is not served. */
export type WorkFinder = (method: string, path: string) => ((call: Call) => Work) | undefined;

/** Stand-in of a backend server with slots and random service times. */
export class WorkService implements Service {
  readonly controlRoutes = {};

  private readonly runLog = new RunLog();

  private readonly pool: SlotPool;

  private readonly random: SeededRandom;

  private readonly load = new LaggedValue({ running: 0, waiting: 0 });

  private readonly timers = new Set<NodeJS.Timeout>();

  private busyMs = 0;

  /** Calls whose connection closed before they started. */
  private abandoned = 0;

  private readonly loadRoute: Route = {
    hasEffect: false,
    handle: () => ({ status: 200, body: this.load.get(this.state.faults.lagMs) }),
  };

  constructor(
    private readonly options: WorkOptions,
    private readonly state: FaultState,
    private readonly findWork: WorkFinder,
    private readonly extraCounters: () => Record<string, Counter> = () => ({}),
  ) {
    this.pool = new SlotPool(options.slots);
    this.random = new SeededRandom(options.seed);
  }

  route(method: string, path: string): Route | undefined {
    if (method === 'GET' && path === '/v1/load') return this.loadRoute;
    const createWork = this.findWork(method, path);
    return createWork && { hasEffect: true, handle: (call) => this.serve(call, createWork(call)) };
  }

  counters(): Record<string, Counter> {
    return {
      ...this.runLog.counters(),
      running: this.pool.running,
      waiting: this.pool.waiting,
      abandoned: this.abandoned,
      busyMs: this.busyMs,
      ...this.extraCounters(),
    };
  }

  runs(): readonly Run[] {
    return this.runLog.list();
  }

  dispose(): void {
    this.pool.clear();
    this.timers.forEach((timer) => clearTimeout(timer));
  }

  /** Runs the work when a slot is free. Work that has started goes on if the connection closes. */
  private serve(call: Call, work: Work): Promise<Answer | undefined> {
    return new Promise((resolve) => {
      const slotWork: SlotWork = {
        start: (release) => {
          const run = this.runLog.start(call.labels, work.operation);
          const serviceMs = this.drawServiceMs();
          work.onStart?.();
          this.after(serviceMs, () => {
            this.runLog.charge(run, serviceMs);
            this.runLog.finish(run);
            this.busyMs += serviceMs;
            release();
            this.reportLoad();
            resolve(createAnswer(work, serviceMs));
          });
        },
      };
      call.onClosed(() => {
        if (!this.pool.remove(slotWork)) return;
        this.abandoned += 1;
        resolve(undefined);
      });
      this.pool.add(slotWork);
      this.reportLoad();
    });
  }

  private drawServiceMs(): number {
    return drawServiceTime(this.options.serviceTime, this.random) * this.state.faults.slowFactor;
  }

  private after(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMs);
    this.timers.add(timer);
  }

  private reportLoad(): void {
    this.load.set({ running: this.pool.running, waiting: this.pool.waiting });
  }
}

function createAnswer(work: Work, serviceMs: number): Answer {
  const usage = {
    prompt_tokens: work.promptTokens,
    completion_tokens: 0,
    accelerator_ms: serviceMs,
  };
  return {
    status: 200,
    body: work.createBody(usage),
    headers: { [SERVICE_MS_HEADER]: String(serviceMs) },
  };
}
