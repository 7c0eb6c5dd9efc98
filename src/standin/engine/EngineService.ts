import { CompletionRequest, Order } from '../../common/protocol/Backend.js';
import type { FaultState } from '../FaultState.js';
import type { RunRecord } from '../Faults.js';
import type { Call } from '../http/Call.js';
import { LaggedValue } from '../LaggedValue.js';
import { RunLog } from '../RunLog.js';
import type { ServiceResponse, Counter, Route, Service } from '../Types.js';
import { Batch } from './Batch.js';
import { CacheEventLog } from './CacheEventLog.js';
import { CompletionStream, usageOf } from './CompletionStream.js';
import { EngineRun } from './EngineRun.js';
import { ModelLoader, type ModelState } from './ModelLoader.js';
import { FencedOrders } from './FencedOrders.js';
import { PromptCache } from './PromptCache.js';
import { RunRegistry } from './RunRegistry.js';
import type { EngineOptions } from './Types.js';

const COMPLETION_PREFIX = '/v1/completions/';

/** Responses to requests for models that are not loaded. */
const MODEL_ERRORS: Readonly<Record<Exclude<ModelState, 'loaded'>, ServiceResponse>> = {
  absent: { status: 404, body: { error: 'model not found' } },
  loading: { status: 503, body: { error: 'model is loading' }, headers: { 'retry-after': '1' } },
};

/** Stand-in for a model engine. */
export class EngineService implements Service {
  readonly controlRoutes = {};

  private readonly runLog = new RunLog();

  private readonly events: CacheEventLog;

  private readonly batch: Batch;

  private readonly registry: RunRegistry;

  private readonly models: ModelLoader;

  private readonly orders = new FencedOrders();

  private readonly load = new LaggedValue({ running: 0, waiting: 0 });

  private resumed = 0;

  private readonly routes: Readonly<Record<string, Route>> = {
    'POST /v1/completions': { hasEffect: true, handle: (call) => this.complete(call) },
    'GET /v1/load': {
      hasEffect: false,
      handle: () => ({ status: 200, body: this.load.valueWithLag(this.state.faults.lagMs) }),
    },
    'GET /v1/cache-events': { hasEffect: false, handle: (call) => this.listCacheEvents(call) },
    'GET /v1/orders': {
      hasEffect: false,
      handle: () => ({ status: 200, body: this.orders.state }),
    },
    'POST /v1/orders': { hasEffect: true, handle: (call) => this.applyOrder(call) },
  };

  private readonly cancelRoute: Route = {
    hasEffect: true,
    handle: (call) => this.cancel(call),
  };

  constructor(
    private readonly options: EngineOptions,
    private readonly state: FaultState,
  ) {
    this.events = new CacheEventLog(options.cacheEventGapShare, options.seed);
    const cache = new PromptCache(options.cacheTokens, this.events);
    this.batch = new Batch(options, state, cache, this.runLog);
    this.registry = new RunRegistry(options, this.batch);
    this.models = new ModelLoader(options.models, options.weightsUrl);
    this.batch.loadChange.event(() => this.reportLoad());
  }

  route(method: string, path: string): Route | undefined {
    if (method === 'DELETE' && path.startsWith(COMPLETION_PREFIX)) return this.cancelRoute;
    return this.routes[`${method} ${path}`];
  }

  counters(): Record<string, Counter> {
    return {
      ...this.runLog.counters(),
      ...this.batch.counters(),
      ...this.orders.counters(),
      resumed: this.resumed,
      cancelled: this.registry.cancelled,
      cacheEvents: this.events.count,
      modelsLoaded: this.models.loaded.length,
      weightBytes: this.models.bytes,
    };
  }

  runs(): readonly RunRecord[] {
    return this.runLog.list();
  }

  dispose(): void {
    this.batch.dispose();
    this.registry.dispose();
    this.models.dispose();
  }

  private complete(call: Call): Promise<ServiceResponse | undefined> | ServiceResponse | undefined {
    const request = call.parseBody(CompletionRequest);
    const existing = this.registry.findReadable(request.request_id);
    if (existing && !existing.matches(request)) {
      return { status: 409, body: { error: 'request_id is in use for another prompt' } };
    }
    if (existing) {
      this.resumed += 1;
      return this.respond(call, existing, request);
    }
    const rejection = this.rejectionOf(request);
    if (rejection) return rejection;
    const labels = { ...call.labels, attemptId: call.labels.attemptId || request.request_id };
    const run = new EngineRun(request, labels, this.options.tokensPerChunk);
    this.registry.add(run);
    return this.respond(call, run, request);
  }

  private rejectionOf(request: CompletionRequest): ServiceResponse | undefined {
    if (request.resume_from > 0) return { status: 404, body: { error: 'no such stream' } };
    const modelState = this.models.stateOf(request.model);
    if (modelState !== 'loaded') return MODEL_ERRORS[modelState];
    if (this.batch.waiting < this.options.maxWaiting) return undefined;
    return { status: 503, body: { error: 'queue is full' } };
  }

  private respond(
    call: Call,
    run: EngineRun,
    request: CompletionRequest,
  ): Promise<ServiceResponse | undefined> | undefined {
    this.registry.attach(run);
    if (call.responseFault.isLost) {
      // The run stays attached, so that the completion runs to its end without a reader.
      call.destroy();
      return undefined;
    }
    if (!request.stream) return this.respondWhenComplete(call, run);
    const stream = new CompletionStream(call, run, request.resume_from);
    call.onClosed(() => {
      stream.dispose();
      this.registry.detach(run);
    });
    return undefined;
  }

  private respondWhenComplete(call: Call, run: EngineRun): Promise<ServiceResponse | undefined> {
    return new Promise((resolve) => {
      const respondIfEnded = (): void => {
        if (run.hasEnded)
          resolve(run.state === 'finished' ? createCompletionResponse(run) : undefined);
      };
      const subscription = run.progress.event(respondIfEnded);
      call.onClosed(() => {
        subscription.dispose();
        this.registry.detach(run);
        resolve(undefined);
      });
      respondIfEnded();
    });
  }

  /** Responds once the completion is charged for its last step, when its usage is final. */
  private cancel(call: Call): Promise<ServiceResponse> | ServiceResponse {
    const id = decodeURIComponent(call.path.slice(COMPLETION_PREFIX.length));
    const run = this.registry.find(id);
    if (!run) return { status: 404, body: { error: 'no such completion' } };
    this.registry.cancel(run);
    return new Promise((resolve) => {
      const respondIfFinal = (): void => {
        if (run.isUsageFinal) resolve({ status: 200, body: { id, usage: usageOf(run) } });
      };
      run.progress.event(respondIfFinal);
      respondIfFinal();
    });
  }

  private listCacheEvents(call: Call): ServiceResponse {
    const after = Number(call.query.get('after') ?? 0);
    const lagMs = this.options.cacheEventLagMs + this.state.faults.lagMs;
    return { status: 200, body: { events: this.events.list(after, lagMs) } };
  }

  private applyOrder(call: Call): ServiceResponse {
    const order = call.parseBody(Order);
    if (!this.orders.apply(order, this.state.faults.ignoreFencing)) {
      return { status: 409, body: { error: 'old fencing number', ...this.orders.state } };
    }
    this.models.setWanted(order.models);
    return { status: 200, body: this.orders.state };
  }

  private reportLoad(): void {
    const { running, waiting } = this.batch;
    const current = this.load.valueWithLag(0);
    if (current.running !== running || current.waiting !== waiting) {
      this.load.set({ running, waiting });
    }
  }
}

function createCompletionResponse(run: EngineRun): ServiceResponse {
  return {
    status: 200,
    body: {
      id: run.request.request_id,
      choices: [{ text: run.text, index: 0 }],
      usage: usageOf(run),
    },
  };
}
