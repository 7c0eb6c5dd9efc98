import { CompletionRequest, Order } from '../../common/protocol/Backend.js';
import type { FaultState } from '../FaultState.js';
import type { Run } from '../Faults.js';
import type { Call } from '../http/Call.js';
import { LaggedValue } from '../LaggedValue.js';
import { RunLog } from '../RunLog.js';
import type { Answer, Counter, Route, Service } from '../Types.js';
import { Batch } from './Batch.js';
import { CacheEventLog } from './CacheEventLog.js';
import { CompletionStream, usageOf } from './CompletionStream.js';
import { EngineRun } from './EngineRun.js';
import { ModelLoader, type ModelState } from './ModelLoader.js';
import { OrderBook } from './OrderBook.js';
import { PromptCache } from './PromptCache.js';
import { RunRegistry } from './RunRegistry.js';
import type { EngineOptions } from './Types.js';

const COMPLETION_PREFIX = '/v1/completions/';

/** Answers to completions of models that are not loaded. */
const MODEL_ERRORS: Readonly<Record<Exclude<ModelState, 'loaded'>, Answer>> = {
  absent: { status: 404, body: { error: 'model not found' } },
  loading: { status: 503, body: { error: 'model is loading' }, headers: { 'retry-after': '1' } },
};

/** Stand-in of a model engine. */
export class EngineService implements Service {
  readonly controlRoutes = {};

  private readonly runLog = new RunLog();

  private readonly events: CacheEventLog;

  private readonly batch: Batch;

  private readonly registry: RunRegistry;

  private readonly models: ModelLoader;

  private readonly orders = new OrderBook();

  private readonly load = new LaggedValue({ running: 0, waiting: 0 });

  private resumed = 0;

  private readonly routes: Readonly<Record<string, Route>> = {
    'POST /v1/completions': { hasEffect: true, handle: (call) => this.complete(call) },
    'GET /v1/load': {
      hasEffect: false,
      handle: () => ({ status: 200, body: this.load.get(this.state.faults.lagMs) }),
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

  runs(): readonly Run[] {
    return this.runLog.list();
  }

  dispose(): void {
    this.batch.dispose();
    this.registry.dispose();
    this.models.dispose();
  }

  private complete(call: Call): Promise<Answer | undefined> | Answer | undefined {
    const request = call.parse(CompletionRequest);
    const known = this.registry.find(request.request_id);
    if (known && !known.matches(request)) {
      return { status: 409, body: { error: 'request_id is in use for another prompt' } };
    }
    if (known) {
      this.resumed += 1;
      return this.answer(call, known, request);
    }
    const refusal = this.refusalOf(request);
    if (refusal) return refusal;
    const labels = { ...call.labels, attemptId: call.labels.attemptId || request.request_id };
    const run = new EngineRun(request, labels, this.options.tokensPerChunk);
    this.registry.add(run);
    return this.answer(call, run, request);
  }

  private refusalOf(request: CompletionRequest): Answer | undefined {
    if (request.resume_from > 0) return { status: 404, body: { error: 'no such stream' } };
    const modelState = this.models.stateOf(request.model);
    if (modelState !== 'loaded') return MODEL_ERRORS[modelState];
    if (this.batch.waiting < this.options.maxWaiting) return undefined;
    return { status: 503, body: { error: 'queue is full' } };
  }

  private answer(
    call: Call,
    run: EngineRun,
    request: CompletionRequest,
  ): Promise<Answer | undefined> | undefined {
    this.registry.attach(run);
    if (call.responseFault.isLost) {
      // Never detached: the completion runs to its end without a reader.
      call.destroy();
      return undefined;
    }
    if (!request.stream) return this.answerWhole(call, run);
    const stream = new CompletionStream(call, run, request.resume_from);
    call.onClosed(() => {
      stream.dispose();
      this.registry.detach(run);
    });
    return undefined;
  }

  private answerWhole(call: Call, run: EngineRun): Promise<Answer | undefined> {
    return new Promise((resolve) => {
      const finish = (): void => {
        if (run.isOver) resolve(run.state === 'finished' ? wholeAnswer(run) : undefined);
      };
      const subscription = run.progress.event(finish);
      call.onClosed(() => {
        subscription.dispose();
        this.registry.detach(run);
        resolve(undefined);
      });
      finish();
    });
  }

  /** Answers when the completion is charged for its last step, so that the usage is final. */
  private cancel(call: Call): Promise<Answer> | Answer {
    const id = decodeURIComponent(call.path.slice(COMPLETION_PREFIX.length));
    const run = this.registry.findAny(id);
    if (!run) return { status: 404, body: { error: 'no such completion' } };
    this.registry.cancel(run);
    return new Promise((resolve) => {
      const answer = (): void => {
        if (run.isSettled) resolve({ status: 200, body: { id, usage: usageOf(run) } });
      };
      run.progress.event(answer);
      answer();
    });
  }

  private listCacheEvents(call: Call): Answer {
    const after = Number(call.query.get('after') ?? 0);
    const lagMs = this.options.cacheEventLagMs + this.state.faults.lagMs;
    return { status: 200, body: { events: this.events.list(after, lagMs) } };
  }

  private applyOrder(call: Call): Answer {
    const order = call.parse(Order);
    if (!this.orders.apply(order, this.state.faults.ignoreFencing)) {
      return { status: 409, body: { error: 'old fencing number', ...this.orders.state } };
    }
    this.models.setWanted(order.models);
    return { status: 200, body: this.orders.state };
  }

  private reportLoad(): void {
    const { running, waiting } = this.batch;
    const current = this.load.get(0);
    if (current.running !== running || current.waiting !== waiting) {
      this.load.set({ running, waiting });
    }
  }
}

function wholeAnswer(run: EngineRun): Answer {
  return {
    status: 200,
    body: {
      id: run.request.request_id,
      choices: [{ text: run.text, index: 0 }],
      usage: usageOf(run),
    },
  };
}
