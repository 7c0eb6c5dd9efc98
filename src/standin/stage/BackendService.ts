import { LaggedValue } from '../LaggedValue.js';
import { RunLog } from '../RunLog.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { SERVICE_MS_HEADER, type BackendUsage } from '../../common/protocol/Backend.js';
import type { FaultState } from '../FaultState.js';
import type { RunRecord } from '../Faults.js';
import type { Call } from '../http/Call.js';
import { drawServiceTime, type ServiceTimeSettings } from '../ServiceTime.js';
import type { ServiceResponse, Counter, Route, Service } from '../Types.js';
import { SlotPool, type SlotWork } from './SlotPool.js';

/** Options of {@link BackendService}. */
export interface BackendServiceOptions {
  readonly slots: number;
  readonly serviceTime: ServiceTimeSettings;
  readonly seed: number;
}

/** Work of a backend server for one call. */
export interface Work {
  /** Name of the operation in the run log. */
  readonly operation: string;
  /**
   * Creates the response body.
   * @param usage - usage of the run
   */
  readonly createBody: (usage: BackendUsage) => unknown;
  readonly promptTokens: number;
  /** Called when the work starts. */
  readonly onStart?: () => void;
}

/** Returns the function that creates the work of a call, or undefined if the path is not served. */
export type WorkFinder = (method: string, path: string) => ((call: Call) => Work) | undefined;

/** Stand-in for a backend server with a limited number of slots and random service times. */
export class BackendService implements Service {
  readonly controlRoutes = {};

  private readonly runLog = new RunLog();

  private readonly pool: SlotPool;

  private readonly random: SeededRandom;

  private readonly load = new LaggedValue({ running: 0, waiting: 0 });

  private readonly timers = new Set<NodeJS.Timeout>();

  private busyMs = 0;

  /** Number of calls whose connection closed while they waited for a slot. */
  private abandoned = 0;

  private readonly loadRoute: Route = {
    hasEffect: false,
    handle: () => ({ status: 200, body: this.load.valueWithLag(this.state.faults.lagMs) }),
  };

  constructor(
    private readonly options: BackendServiceOptions,
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
    return (
      createWork && { hasEffect: true, handle: (call) => this.runWork(call, createWork(call)) }
    );
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

  runs(): readonly RunRecord[] {
    return this.runLog.list();
  }

  dispose(): void {
    this.pool.clear();
    this.timers.forEach((timer) => clearTimeout(timer));
  }

  /**
   * Runs the work when a slot is free. Once started, the work continues if the connection closes.
   */
  private runWork(call: Call, work: Work): Promise<ServiceResponse | undefined> {
    return new Promise((resolve) => {
      const slotWork: SlotWork = {
        start: (release) => {
          const run = this.runLog.start(call.labels, work.operation);
          const serviceMs = this.drawServiceMs();
          work.onStart?.();
          this.schedule(serviceMs, () => {
            this.runLog.charge(run, serviceMs);
            this.runLog.finish(run);
            this.busyMs += serviceMs;
            release();
            this.reportLoad();
            resolve(createResponse(work, serviceMs));
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

  private schedule(delayMs: number, action: () => void): void {
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

function createResponse(work: Work, serviceMs: number): ServiceResponse {
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
