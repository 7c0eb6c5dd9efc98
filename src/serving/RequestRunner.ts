import { once } from '../common/Once.js';
import { Cancellation } from '../common/events/Cancellation.js';
import type { EnginePlacement } from '../common/serving/EnginePlacement.js';
import type { ServerRecords } from '../common/serving/ServerRecords.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import { returnAfterMs } from '../common/serving/StageAdmission.js';
import type { Logger } from '../telemetry/Logger.js';
import { isRetryable, type CallerRequest } from './CallerRequest.js';
import { NOT_RUN_STATUS, UNKNOWN_OUTCOME_STATUS } from './CallerResponse.js';
import { canFailOver, FailoverPolicy, MAX_SEND_ATTEMPTS } from './FailoverPolicy.js';
import { SIGNALS, type Claim, type ForwardOptions, type ForwardOutcome } from './ForwardOutcome.js';
import { forwardBuffered, type ForwardServices } from './BufferedForwarder.js';
import type { Hedging } from './Hedging.js';
import type { StageResults, StageRunner } from './StageRunner.js';
import { chooseService } from './ServiceChoice.js';
import { StageAdmissionCheck } from './StageAdmissionCheck.js';
import { StreamForwarder } from './StreamForwarder.js';
import type { PeerView } from './peers/PeerView.js';
import { ForwardProgress, type PinnedVersion } from './ForwardProgress.js';
import type { Guard } from './CrashGuard.js';
import { RequestLog, type Refusal } from './RequestLog.js';
import { ResponseProgress } from './ResponseProgress.js';
import type { RetryBudgets } from './RetryBudgets.js';
import { NOT_TRIED, type ServerSelection } from './ServerSelection.js';
import type { ServingMetrics } from './ServingMetrics.js';
import { isTakeUp, type StreamVersions } from './StreamVersions.js';

/** Status with which a server reports that the stage results in a request's inputs are missing. */
const INPUTS_MISSING_STATUS = 409;

/** Retry-After if no server was usable, in ms: servers become available again in about a second. */
const NO_SERVER_RETRY_MS = 500;

/**
 * Shortest Retry-After if all servers are evacuated, in ms; the longest is twice that. The end of an
 * evacuation takes effect within about a second.
 */
const EVACUATED_RETRY_MS = 1000;

/** Longest time by which the returns of callers that wait for a server are spread, in ms. */
const MAX_RETRY_SPREAD_MS = 1000;

/** Retry-After if servers at capacity refused the request, in ms. */
const FULL_RETRY_MS = 200;

/** Dependencies of {@link RequestRunner}. */
export interface RequestRunnerServices extends ForwardServices {
  readonly logger: Logger;
  readonly metrics: ServingMetrics;
  readonly selection: ServerSelection;
  readonly records: ServerRecords;
  readonly placement: EnginePlacement;
  readonly crashGuard: Guard;
  readonly stageRunner: StageRunner;
  readonly retryBudgets: RetryBudgets;
  readonly peerView: PeerView;
  readonly streamVersions: StreamVersions;
  readonly random: () => number;
  /** Undefined if requests are not hedged. */
  readonly hedging?: Hedging | undefined;
}

/** What the sends of one request have in common, and the claim of one that may be hedged. */
interface SendContext {
  readonly service: string;
  readonly progress: ForwardProgress;
  readonly results: Extract<StageResults, { kind: 'done' }>;
  readonly release: () => void;
  readonly claim?: Claim;
}

type NextStep = 'retry' | 'stop';

type OutcomeHandlers = {
  readonly [Kind in ForwardOutcome['kind']]: (
    request: CallerRequest,
    progress: ForwardProgress,
    outcome: Extract<ForwardOutcome, { kind: Kind }>,
  ) => NextStep;
};

/**
 * Processes requests from admission to the final response: runs their stages, chooses a backend
 * server, forwards the request and retries it within the retry budget.
 */
export class RequestRunner {
  private readonly handlers: OutcomeHandlers = {
    answered: () => 'stop',
    cancelled: () => 'stop',
    unsent: () => 'retry',
    'not-executed': (request, progress, { status }) => {
      if (status !== INPUTS_MISSING_STATUS) return 'retry';
      // The results are lost: no other server can read them either.
      this.sendFailure(request, progress, 'inputs are gone');
      return 'stop';
    },
    broken: (request, progress, { cause }) => this.retryOrFail(request, progress, cause),
    'server-error': (request, progress, { status }) =>
      this.retryOrFail(request, progress, `status ${status}`),
    interrupted: (request, progress, { cause }) => this.retryOrFail(request, progress, cause),
  };

  private readonly log: RequestLog;

  private readonly failoverPolicy: FailoverPolicy;

  private readonly stageAdmission: StageAdmissionCheck;

  constructor(private readonly services: RequestRunnerServices) {
    this.log = new RequestLog(services.logger, services.clock);
    this.failoverPolicy = new FailoverPolicy(services);
    this.stageAdmission = new StageAdmissionCheck(services);
  }

  /** Processes one request until its final response is sent or its caller has left. */
  async run(request: CallerRequest): Promise<void> {
    const target = chooseService(request.route, this.services.random);
    const continuation = isTakeUp(request)
      ? await this.services.streamVersions.continuationOf(request, target)
      : { service: target };
    const { service, pinned } = continuation;
    this.services.retryBudgets.of(service).recordRequest();
    this.services.hedging?.recordRequest(service);
    const refusal =
      this.services.crashGuard.refusalOf(request) ??
      continuation.refusal ??
      this.admissionRefusal(request, service);
    if (refusal) {
      this.refuse(request, refusal.reason, refusal.retryAfterMs);
      return;
    }
    const results = await this.runStages(request, service, pinned);
    if (!results) return;
    const release = once(() => results.release());
    try {
      const progress = new ForwardProgress(request.attributes.lastEventId, pinned);
      await this.forwardWithRetries(request, { service, progress, results, release });
    } finally {
      release();
    }
  }

  /**
   * Refuses a request that cannot finish in time before any backend server works on it.
   * @returns reason of the refusal; undefined to admit the request
   */
  private admissionRefusal(request: CallerRequest, service: string): Refusal | undefined {
    const { stageRunner, selection } = this.services;
    const neededStages = request.route.stages.filter(
      (_, index) => (request.attributes.pieceCounts[index] ?? 0) > 0,
    );
    if (neededStages.length === 0) return undefined;
    const services = [service, ...neededStages.map((stage) => stage.service)];
    const unserved = services.find((name) => selection.waitMs(name) === undefined);
    if (unserved !== undefined) return this.noServerRefusal(unserved);
    const waitMs = selection.waitMs(service) ?? 0;
    if (waitMs > stageRunner.minDurationMs(request)) return this.waitRefusal(waitMs);
    return this.stageAdmission.refusalOf(request);
  }

  private async runStages(
    request: CallerRequest,
    service: string,
    pinned: PinnedVersion | undefined,
  ): Promise<Extract<StageResults, { kind: 'done' }> | undefined> {
    const needsStages = request.attributes.pieceCounts.some((pieces) => pieces > 0);
    if (request.route.stages.length === 0 || !needsStages) {
      return { kind: 'done', results: [], release: () => undefined };
    }
    const { stageRunner, selection, crashGuard } = this.services;
    const cancellation = new Cancellation(request.cancellation);
    const subscription = crashGuard.onRefused(request, () => cancellation.cancel());
    // The engine that would be chosen now.
    const engineDomain = selection.choose(
      request,
      service,
      { ...NOT_TRIED, pinned },
      [],
    )?.failureDomain;
    const results = await stageRunner.run(request, engineDomain, cancellation);
    subscription.dispose();
    cancellation.dispose();
    if (request.cancellation.isCancelled) {
      if (results.kind === 'done') results.release();
      return undefined;
    }
    if (results.kind === 'done') return results;
    const { service: failedService, reason } = results;
    const refusal = crashGuard.refusalOf(request) ?? this.evacuationRefusal(failedService);
    if (refusal) {
      this.refuse(request, refusal.reason, refusal.retryAfterMs);
      return undefined;
    }
    const waitsForMs = request.callerWaitsUntil - this.services.clock.now();
    const retryAfterMs = Math.max(FULL_RETRY_MS, returnAfterMs(waitsForMs, this.services.random()));
    this.refuse(request, `stage ${reason} at ${failedService}`, retryAfterMs);
    return undefined;
  }

  private async forwardWithRetries(request: CallerRequest, context: SendContext): Promise<void> {
    const { selection, hedging } = this.services;
    const { service, progress, results } = context;
    let nextStep: NextStep = 'retry';
    while (nextStep === 'retry') {
      const refusal = this.services.crashGuard.refusalOf(request);
      if (refusal) {
        this.sendFailure(request, progress, refusal.reason, refusal.retryAfterMs);
        return;
      }
      const server = selection.choose(request, service, progress, results.results);
      const mayRetry =
        progress.deliveries === 0 || this.services.retryBudgets.of(service).trySpend();
      if (!server) {
        const { reason, retryAfterMs } = this.selectionRefusal(service, progress);
        this.sendFailure(request, progress, reason, retryAfterMs);
        return;
      }
      if (progress.sends >= MAX_SEND_ATTEMPTS || !mayRetry) {
        this.sendFailure(request, progress, 'repeats exhausted');
        return;
      }
      const outcome = hedging?.covers(request, progress)
        ? await hedging.forward(
            { request, service, server, progress, results: results.results },
            (copy, target, claim) => this.forward(copy, target, { ...context, claim }),
          )
        : await this.forward(request, server, context);
      const hasNotRun = outcome.kind === 'unsent' || outcome.kind === 'not-executed';
      if (hasNotRun && progress.possibleRuns === 0) request.trace.setMayHaveRun(false);
      const handler = this.handlers[outcome.kind] as (
        value: CallerRequest,
        state: ForwardProgress,
        result: ForwardOutcome,
      ) => NextStep;
      nextStep = handler(request, progress, outcome);
    }
  }

  /** @returns why no server of the service can be chosen now */
  private selectionRefusal(service: string, progress: ForwardProgress): Refusal {
    const waitMs = this.services.selection.waitMs(service) ?? 0;
    if (waitMs === 0) return this.noServerRefusal(service, retryAfterMsOf(progress));
    return this.waitRefusal(waitMs);
  }

  /** @returns refusal of a request for a service without usable servers */
  private noServerRefusal(service: string, retryAfterMs = NO_SERVER_RETRY_MS): Refusal {
    return this.evacuationRefusal(service) ?? { reason: 'no usable server', retryAfterMs };
  }

  /** @returns refusal if all servers of the service are evacuated */
  private evacuationRefusal(service: string): Refusal | undefined {
    if (!this.services.selection.isEvacuated(service)) return undefined;
    this.services.metrics.recordRefusal('evacuated');
    const retryAfterMs = EVACUATED_RETRY_MS * (1 + this.services.random());
    return { reason: 'all servers are evacuated', retryAfterMs };
  }

  private waitRefusal(waitMs: number): Refusal {
    this.services.metrics.recordRefusal('limited-servers');
    // Callers that are refused at the same time should not all return at the same time.
    const spreadMs = Math.min(waitMs, MAX_RETRY_SPREAD_MS) * this.services.random();
    const retryAfterMs = FULL_RETRY_MS + waitMs + spreadMs;
    return { reason: 'all servers are at their limits or pause', retryAfterMs };
  }

  /** Sends a request to one server and records the outcome. */
  private async forward(
    request: CallerRequest,
    server: BackendServer,
    { service, progress, results, release, claim }: SendContext,
  ): Promise<ForwardOutcome> {
    const { records, placement, clock, metrics } = this.services;
    progress.recordSend(server.id);
    const { sends } = progress;
    request.trace.recordStep(`to:${server.id}`, clock.now());
    request.trace.setMayHaveRun(true);
    const responseProgress = new ResponseProgress(clock);
    const { promptParts } = request.attributes;
    const tokens = placement.uncachedTokens(server.id, promptParts);
    const { tokens: reportedTokens } = this.services.peerView.engineLoad(server.id);
    const recordFirstEvent = placement.measureFirstEvent(server, tokens, reportedTokens);
    if (promptParts.length > 0) placement.recordParts(server.id, promptParts);
    const outstanding = records.begin(server.id, tokens);
    const markPrefilled = once(() => outstanding.markPrefilled());
    const options: ForwardOptions = {
      ...this.forwardOptions(request, server, progress, results),
      onHead: () => responseProgress.recordHead(),
      onEvents: (count) => {
        if (responseProgress.events === 0) {
          request.trace.recordStep('first-event', clock.now());
          this.services.streamVersions.recordFirstEvent(request, server);
          if (promptParts.length > 0) recordFirstEvent();
        }
        responseProgress.recordEvents(count);
        markPrefilled();
        // A stream that can resume at another server must be able to read its inputs there.
        if (!canFailOver(request)) release();
      },
      ...(claim && { claim }),
    };
    let outcome: ForwardOutcome;
    try {
      outcome = await this.send(request, server, options, progress);
      this.recordOutcome(server, outcome);
      this.services.crashGuard.recordOutcome(request, server, outcome, responseProgress);
    } finally {
      markPrefilled();
      outstanding.end();
    }
    progress.recordOutcome(outcome, server);
    metrics.recordForward(service, outcome.kind);
    this.log.recordForward(request, server, outcome, { sends }, responseProgress);
    return outcome;
  }

  private send(
    request: CallerRequest,
    server: BackendServer,
    options: ForwardOptions,
    progress: ForwardProgress,
  ): Promise<ForwardOutcome> {
    const failover = this.failoverPolicy.failoverOf(request, server, progress);
    if (request.route.kind === 'streaming') {
      return new StreamForwarder(this.services, request, options, failover).forward(server);
    }
    const remainingMs = request.deadlineAt - this.services.clock.now();
    return forwardBuffered(this.services, request, server, options, remainingMs, failover);
  }

  private forwardOptions(
    request: CallerRequest,
    server: BackendServer,
    progress: ForwardProgress,
    results: Extract<StageResults, { kind: 'done' }>,
  ): ForwardOptions {
    const inputs = results.results.map(({ handle }) => handle);
    const { lastEventId } = progress;
    const headers = this.services.protocol.forwardHeaders(request.headers, {
      remainingMs: Math.max(1, Math.floor(request.deadlineAt - this.services.clock.now())),
      serverId: server.id,
      ...(request.account && { account: request.account.name }),
      ...(inputs.length > 0 && { inputs }),
      ...(request.route.usesEngine && { urgency: request.priority }),
      ...(lastEventId !== undefined && { lastEventId }),
    });
    return {
      headers,
      ...(lastEventId !== undefined && { lastEventId }),
    };
  }

  private recordOutcome(server: BackendServer, { kind }: ForwardOutcome): void {
    const signal = SIGNALS[kind];
    if (signal) this.services.records.recordOutcome(server.id, signal);
  }

  private retryOrFail(request: CallerRequest, progress: ForwardProgress, cause: string): NextStep {
    progress.recordPossibleRun();
    if (isRetryable(request) && progress.possibleRuns < request.route.maxServers) return 'retry';
    this.sendFailure(request, progress, cause);
    return 'stop';
  }

  /** Sends the final response of a request that is not sent to any further server. */
  private sendFailure(
    request: CallerRequest,
    progress: ForwardProgress,
    reason: string,
    retryAfterMs = retryAfterMsOf(progress),
  ): void {
    const { response } = request;
    if (response.hasStarted) {
      response.abort();
      return;
    }
    const { lastError } = progress;
    if (lastError) {
      response.sendComplete(lastError.status, lastError.headers, lastError.body);
      return;
    }
    if (progress.possibleRuns > 0) response.sendError({ status: UNKNOWN_OUTCOME_STATUS, reason });
    else this.refuse(request, reason, retryAfterMs);
  }

  private refuse(request: CallerRequest, reason: string, retryAfterMs: number): void {
    this.log.recordRefusal(request, reason, retryAfterMs);
    request.response.sendError({ status: NOT_RUN_STATUS, reason, retryAfterMs });
  }
}

/** @returns time after which a caller should retry if no server can be chosen, in ms */
function retryAfterMsOf({ sends }: ForwardProgress): number {
  return sends > 0 ? FULL_RETRY_MS : NO_SERVER_RETRY_MS;
}
