import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { start, stop, type ActorSystemRef } from 'nact';
import { MAX_REQUEST_BYTES } from '../common/protocol/CallerRequest.js';
import type { PipelinePlan } from '../common/pipeline/PipelinePlan.js';
import type { PathEstimate } from '../common/routing/Feasibility.js';
import type { Clock } from '../common/time/Types.js';
import type { ConfigurationSource } from '../follower/Types.js';
import { authenticate, validateRequest, refuse, type ValidatedRequest } from './Admission.js';
import { createRequestId } from './AttemptId.js';
import type { EntryTelemetry } from './EntryTelemetry.js';
import { CallerResponse } from './CallerResponse.js';
import { readBody } from './HttpBody.js';
import { executeRequest } from './RequestActor.js';
import type { AbortReason, Failure, RequestContext, StageExecutor } from './Types.js';

/** Longest wait for the first configuration: one poll of the store and one retry. */
const STARTUP_WAIT_MS = 2000;
const STARTUP_POLL_MS = 25;

const REQUESTS_PATH = /^\/v1\/pipelines\/([^/?]+)\/requests(?:\?.*)?$/;

/** Options of {@link CallerApi}. */
export interface CallerApiOptions {
  readonly entryId: string;
  readonly clock: Clock;
  readonly configuration: ConfigurationSource;
  readonly executor: StageExecutor;
  readonly telemetry: EntryTelemetry;
  /** @returns expected duration of a plan, to refuse requests that can't finish in time. */
  readonly estimate: (plan: PipelinePlan) => PathEstimate;
  /** @returns time at which a shutdown cuts requests off, on the clock; Infinity without one */
  readonly stopsAt: () => number;
}

/** HTTP API for callers: `POST /v1/pipelines/{template}/requests`. */
export class CallerApi {
  private readonly system: ActorSystemRef = start();

  private runningRequests = 0;

  private idleListeners: (() => void)[] = [];

  constructor(private readonly options: CallerApiOptions) {}

  /** Number of requests in progress. */
  get requestsRunning(): number {
    return this.runningRequests;
  }

  /**
   * Handles an HTTP request.
   * @param request - request from a caller
   * @param response - response to the caller
   * @returns false if the path does not belong to this API
   */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const template = REQUESTS_PATH.exec(request.url ?? '')?.[1];
    if (template === undefined) return false;
    this.trackRequest(response);
    const callerResponse = new CallerResponse(request, response);
    const refusal = await this.processRequest(request, decodePathSegment(template), callerResponse);
    if (refusal) {
      // The unread rest of a body must not be parsed as the next request of the connection.
      if (!request.complete) response.setHeader('connection', 'close');
      this.options.telemetry.countRefusal(refusal.kind);
      callerResponse.sendError(refusal);
    }
    return true;
  }

  /** Resolves once no request is in progress. */
  async whenIdle(): Promise<void> {
    if (this.runningRequests === 0) return;
    await new Promise<void>((resolve) => {
      this.idleListeners.push(resolve);
    });
  }

  dispose(): void {
    stop(this.system);
  }

  /** @returns the failure to send, or null if the response has been sent. */
  private async processRequest(
    request: IncomingMessage,
    template: string,
    callerResponse: CallerResponse,
  ): Promise<Failure | null> {
    const arrivedAt = this.options.clock.now();
    if (request.method !== 'POST')
      return refuse('bad-request', `expected method POST, got ${request.method}`).failure;
    const { configuration } = this.options;
    if (!(await this.waitForConfiguration())) {
      return refuse('unavailable', 'this entry has no configuration yet').failure;
    }
    const account = authenticate(request.headers, configuration.snapshot());
    if (!account.ok) return account.failure;
    const body = await readBody(request, MAX_REQUEST_BYTES);
    if (!body.ok) {
      return body.reason === 'too-large'
        ? refuse('too-large', `the body is larger than ${MAX_REQUEST_BYTES} bytes`).failure
        : refuse('cancelled', 'the caller disconnected').failure;
    }
    const snapshot = configuration.snapshot();
    const checked = validateRequest(account.value, template, request.headers, body.text, snapshot);
    if (!checked.ok) return checked.failure;
    if (arrivedAt + checked.value.deadlineMs > this.options.stopsAt()) {
      return refuse('shutting-down', 'this entry is shutting down').failure;
    }
    const infeasible = this.checkFeasible(checked.value);
    if (infeasible) return infeasible;
    await this.execute(checked.value, callerResponse, arrivedAt, snapshot.revision);
    return null;
  }

  /** Lets a request that arrives during start-up wait for the first configuration. */
  private async waitForConfiguration(): Promise<boolean> {
    const { configuration, clock } = this.options;
    const waitUntil = clock.now() + STARTUP_WAIT_MS;
    while (!configuration.ready && clock.now() < waitUntil) await sleep(STARTUP_POLL_MS);
    return configuration.ready;
  }

  private checkFeasible({ plan, deadlineMs }: ValidatedRequest): Failure | null {
    const { expectedMs, waitMs } = this.options.estimate(plan);
    if (expectedMs <= deadlineMs) return null;
    return {
      kind: 'infeasible',
      outcome: 'not-run',
      message: `expected to take ${Math.round(expectedMs)} ms of ${deadlineMs} ms allowed`,
      // Once the queues are empty the request may be feasible. Without queueing time, only a longer
      // deadline helps.
      ...(waitMs > 0 ? { retryAfterMs: Math.ceil(waitMs) } : {}),
    };
  }

  private async execute(
    request: ValidatedRequest,
    callerResponse: CallerResponse,
    arrivedAt: number,
    revision: number,
  ): Promise<void> {
    const requestId = createRequestId(this.options.entryId);
    const telemetry = this.options.telemetry.begin({
      requestId,
      account: request.account.id,
      template: request.plan.template,
      traceparent: request.traceparent,
      arrivedAt,
    });
    const abortController = new AbortController();
    const abort = (reason: AbortReason) => abortController.abort(reason);
    const deadline = setTimeout(() => abort('deadline'), request.deadlineMs);
    callerResponse.onDisconnect(() => abort('caller-disconnected'));
    const context: RequestContext = {
      requestId,
      account: request.account,
      template: request.plan.template,
      idempotencyKey: request.idempotencyKey,
      deadlineAt: arrivedAt + request.deadlineMs,
      pinnedRevision: revision,
      weight: request.weight,
      signal: abortController.signal,
      traceAttempt: (stage, agentId) => telemetry.traceAttempt(stage, agentId),
      recordDecision: (stage, action, reason) => telemetry.recordDecision(stage, action, reason),
    };
    telemetry.recordDecision(
      null,
      'admit',
      `revision ${revision}, deadline ${request.deadlineMs} ms`,
    );
    callerResponse.sendAccepted(requestId);
    const end = await executeRequest(
      this.system,
      {
        context,
        plan: request.plan,
        input: request.input,
        onChunk: (offset, text) => {
          telemetry.recordChunk();
          callerResponse.sendChunk(offset, text);
        },
      },
      this.options.executor,
    );
    clearTimeout(deadline);
    telemetry.finish(end);
    callerResponse.sendEnd(requestId, end);
  }

  /** Counts a request as in progress until its response was sent or the caller disconnected. */
  private trackRequest(response: ServerResponse): void {
    this.runningRequests += 1;
    response.once('close', () => {
      this.runningRequests -= 1;
      if (this.runningRequests > 0) return;
      const listeners = this.idleListeners;
      this.idleListeners = [];
      listeners.forEach((listener) => listener());
    });
  }
}

function decodePathSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    return segment;
  }
}
