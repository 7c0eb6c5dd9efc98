import { setTimeout as sleep } from 'node:timers/promises';
import { Cancellation } from '../common/events/Cancellation.js';
import type { Clock } from '../common/time/Types.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import type { ServerDirectory } from '../common/serving/ServerDirectory.js';
import type { StageCapacity } from '../common/serving/ServingConfiguration.js';
import { successiveCalls } from '../common/serving/StageBounds.js';
import { StageGraph, type ReadyStage } from '../common/serving/StageGraph.js';
import type { TaskOutcome } from '../common/serving/Types.js';
import type { CallerRequest } from './CallerRequest.js';
import { fingerprintOf } from './RequestFingerprint.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { StageClient } from './StageClient.js';

/** Time from the last stage to the first event at an engine with an empty queue, in ms. */
export const MIN_FIRST_EVENT_MS = 60;

/** Outcome of all stages of a request. */
export type StageResults =
  | {
      readonly kind: 'done';
      /** Handles of the results that the request itself reads, with the size of each, in bytes. */
      readonly results: readonly { readonly handle: string; readonly bytes: number }[];
      /** Releases the results at the servers that store them. */
      release(): void;
    }
  | {
      readonly kind: 'failed';
      readonly service: string;
      readonly reason: Exclude<TaskOutcome['kind'], 'done'>;
    };

/** Typical duration of a stage, including queueing, as a multiple of the fixed time of a call. */
const TYPICAL_STAGE_FACTOR = 2.6;

/** Typical time from the last stage to the first event, in ms; a long prefill takes about 80 ms. */
const TYPICAL_FIRST_EVENT_MS = 200;

/** Total size of a stage's results, in bytes, from which on the engine's domain is preferred. */
const LOCALITY_THRESHOLD_BYTES = 500_000;

/** State of one request whose stages are running. */
interface StageRunContext {
  readonly request: CallerRequest;
  readonly graph: StageGraph;
  readonly cancellation: Cancellation;
  readonly engineDomain: string | undefined;
}

/** Dependencies of {@link StageRunner}. */
export interface StageRunnerServices {
  readonly clock: Clock;
  readonly stageClient: StageClient;
  readonly metrics: ServingMetrics;
  readonly routeTable: () => RouteTable | undefined;
  readonly directory: Pick<ServerDirectory, 'usable'>;
}

/** Runs the stages of requests: each stage starts once all stages it depends on have completed. */
export class StageRunner {
  constructor(private readonly services: StageRunnerServices) {}

  /**
   * @param request - caller's request
   * @param engineDomain - failure domain of the engine that the request will probably be sent to
   * @param parent - ends the stages
   * @returns results that the request itself reads, or the first failure
   */
  async run(
    request: CallerRequest,
    engineDomain: string | undefined,
    parent: Cancellation,
  ): Promise<StageResults> {
    const { route, attributes } = request;
    const graph = new StageGraph(route.stages, attributes.pieceCounts);
    const cancellation = new Cancellation(parent);
    let failure: StageResults | undefined;
    const runReadyStages = async (): Promise<void> => {
      await Promise.all(
        graph.startReady().map(async (ready) => {
          const outcome = await this.runStage(
            { request, graph, cancellation, engineDomain },
            ready,
          );
          if (outcome.kind !== 'done') {
            const { service } = ready.definition;
            failure ??= { kind: 'failed', service, reason: outcome.kind };
            cancellation.cancel();
            return;
          }
          graph.complete(ready.stage, outcome.handles, this.services.clock.now());
          this.releaseConsumed(request, graph, ready.stage);
          if (!failure) await runReadyStages();
        }),
      );
    };
    await runReadyStages();
    cancellation.dispose();
    const release = () => this.releaseFinal(request, graph);
    if (failure) {
      release();
      return failure;
    }
    const sizes = new Map(
      route.stages.flatMap((stage, index) =>
        graph.handlesOf(index).map((handle) => [handle, stage.resultBytes] as const),
      ),
    );
    const results = graph
      .finalHandles()
      .map((handle) => ({ handle, bytes: sizes.get(handle) ?? 0 }));
    return { kind: 'done', results, release };
  }

  /** @returns shortest time in which all stages of the request can complete, in ms */
  minDurationMs(request: CallerRequest): number {
    return this.durationMs(request, ({ callMs }) => callMs);
  }

  /** @returns time to the first event without waiting for servers if calls are half full, in ms */
  typicalDurationMs(request: CallerRequest): number {
    const stagesMs = this.durationMs(
      request,
      ({ callMs, batchSize, pieceMs }) => callMs + (batchSize / 2) * pieceMs,
    );
    return stagesMs + TYPICAL_FIRST_EVENT_MS;
  }

  private durationMs(request: CallerRequest, ofCall: (capacity: StageCapacity) => number): number {
    const ends: number[] = [];
    request.route.stages.forEach((stage, index) => {
      const pieces = request.attributes.pieceCounts[index] ?? 0;
      const start = Math.max(0, ...stage.dependsOn.map((source) => ends[source] ?? 0));
      const capacity = this.services.routeTable()?.service(stage.service)?.stage;
      const servers = this.services.directory.usable(stage.service).length;
      const stageMs = capacity ? successiveCalls(pieces, servers, capacity) * ofCall(capacity) : 0;
      ends.push(start + stageMs);
    });
    return Math.max(0, ...ends);
  }

  private async runStage(context: StageRunContext, ready: ReadyStage): Promise<TaskOutcome> {
    const { request, graph, cancellation, engineDomain } = context;
    const { clock, stageClient, metrics } = this.services;
    // Results occupy memory until the request reads them, so a chain of stages that is shorter than
    // the others starts later.
    const slackMs =
      ready.inputs.length === 0 ? graph.slackMs(ready.stage, (name) => this.callMs(name)) : 0;
    if (slackMs > 0) await sleep(slackMs);
    const isLarge = ready.pieces * ready.definition.resultBytes >= LOCALITY_THRESHOLD_BYTES;
    const preferredDomain = graph.isFinal(ready.stage) && isLarge ? engineDomain : undefined;
    const { service, resultBytes } = ready.definition;
    const typicalRemainingMs = this.typicalRemainingMs(graph, ready.stage);
    const { pieceKey } = request.attributes;
    const minRemainingMs = this.minRemainingMs(graph, ready.stage);
    const inputsStoredUntil = graph.inputsStoredUntil(ready.stage, (name) =>
      this.retentionMs(name),
    );
    const startedAt = clock.now();
    const outcome = await stageClient.run(
      service,
      {
        attemptId: request.attributes.attemptId ?? request.id,
        stage: ready.stage,
        pieces: ready.pieces,
        ...(ready.inputs.length === 0 && pieceKey !== undefined && { key: pieceKey }),
        inputs: ready.inputs,
        resultBytes,
        inputBytes: ready.inputBytes,
        work: `${request.route.name}/${ready.stage}`,
        fingerprint: fingerprintOf(request),
        ...(preferredDomain !== undefined && { preferredDomain }),
        priority: request.priority,
        dueAt: request.dueAt - typicalRemainingMs,
        expiresAt: Math.min(
          request.callerWaitsUntil - MIN_FIRST_EVENT_MS - minRemainingMs,
          // A call reads its inputs at its start.
          inputsStoredUntil + this.callMs(service),
        ),
      },
      cancellation,
    );
    metrics.recordStage(service, outcome.kind, clock.now() - startedAt);
    request.trace.recordStep(`stage${ready.stage}:${outcome.kind}`, clock.now());
    return outcome;
  }

  /** @returns typical time from the end of the stage to the first event, in ms */
  private typicalRemainingMs(graph: StageGraph, stage: number): number {
    const [, ...later] = graph.remainingServices(stage);
    return later.reduce(
      (sum, service) => sum + this.callMs(service) * TYPICAL_STAGE_FACTOR,
      TYPICAL_FIRST_EVENT_MS,
    );
  }

  private minRemainingMs(graph: StageGraph, stage: number): number {
    const [, ...later] = graph.remainingServices(stage);
    return later.reduce((sum, service) => sum + this.callMs(service), 0);
  }

  private callMs(service: string): number {
    return this.services.routeTable()?.service(service)?.stage?.callMs ?? 0;
  }

  private retentionMs(service: string): number {
    return this.services.routeTable()?.service(service)?.stage?.resultRetentionMs ?? Infinity;
  }

  private releaseConsumed(request: CallerRequest, graph: StageGraph, stage: number): void {
    graph.releasableAfter(stage).forEach((source) => {
      const service = request.route.stages[source]?.service;
      if (service !== undefined)
        this.services.stageClient.release(service, graph.handlesOf(source));
    });
  }

  private releaseFinal(request: CallerRequest, graph: StageGraph): void {
    const finals = new Set(graph.finalHandles());
    request.route.stages.forEach((stage, index) => {
      const handles = graph.handlesOf(index).filter((handle) => finals.has(handle));
      this.services.stageClient.release(stage.service, handles);
    });
  }
}
