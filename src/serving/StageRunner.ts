import { setTimeout as sleep } from 'node:timers/promises';
import { Cancellation } from '../common/events/Cancellation.js';
import type { Clock } from '../common/time/Types.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import { StageGraph, type ReadyStage } from '../common/serving/StageGraph.js';
import type { TaskOutcome } from '../common/serving/StageQueue.js';
import type { CallerRequest } from './CallerRequest.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { StageClient } from './StageClient.js';

/** Time from the last stage to the first event at an engine with an empty queue, in ms. */
export const FIRST_EVENT_MS = 60;

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
const USUAL_CALL_FACTOR = 2.6;

/** Typical time from the last stage to the first event, in ms; a long prefill takes about 80 ms. */
const USUAL_FIRST_EVENT_MS = 200;

/** Total size of a stage's results, in bytes, from which their failure domain is chosen. */
const MIN_COSTLY_BYTES = 500_000;

/** State of one request whose stages are running. */
interface StagesRun {
  readonly request: CallerRequest;
  readonly graph: StageGraph;
  readonly cancellation: Cancellation;
  readonly engineDomain: string | undefined;
}

/** Dependencies of {@link StageRunner}. */
export interface StageRunnerServices {
  readonly clock: Clock;
  readonly stages: StageClient;
  readonly metrics: ServingMetrics;
  readonly table: () => RouteTable | undefined;
}

/** Runs the stages of requests: each stage starts once all stages it depends on have completed. */
export class StageRunner {
  constructor(private readonly services: StageRunnerServices) {}

  /**
   * @param request - caller's request
   * @param engineDomain - failure domain of the engine that the request will probably be sent to
   * @returns results that the request itself reads, or the first failure
   */
  async run(request: CallerRequest, engineDomain: string | undefined): Promise<StageResults> {
    const { route, attributes } = request;
    const graph = new StageGraph(route.stages, attributes.pieceCounts);
    const cancellation = new Cancellation(request.cancellation);
    let failure: StageResults | undefined;
    const advance = async (): Promise<void> => {
      await Promise.all(
        graph.takeReady().map(async (ready) => {
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
          graph.complete(ready.stage, outcome.handles);
          this.releaseConsumed(request, graph, ready.stage);
          if (!failure) await advance();
        }),
      );
    };
    await advance();
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
  shortestMs(request: CallerRequest): number {
    const ends: number[] = [];
    request.route.stages.forEach((stage, index) => {
      const pieces = request.attributes.pieceCounts[index] ?? 0;
      const start = Math.max(0, ...stage.dependsOn.map((source) => ends[source] ?? 0));
      const definition = this.services.table()?.service(stage.service);
      const ownMs = pieces > 0 ? (definition?.stage?.callMs ?? 0) : 0;
      ends.push(start + ownMs);
    });
    return Math.max(0, ...ends);
  }

  private async runStage(run: StagesRun, ready: ReadyStage): Promise<TaskOutcome> {
    const { request, graph, cancellation, engineDomain } = run;
    const { clock, stages, metrics } = this.services;
    // Results occupy memory until the request reads them, so a chain of stages that is shorter than
    // the others starts later.
    const slackMs =
      ready.inputs.length === 0 ? graph.slackMs(ready.stage, (name) => this.callMs(name)) : 0;
    if (slackMs > 0) await sleep(slackMs);
    const isCostly = ready.pieces * ready.definition.resultBytes >= MIN_COSTLY_BYTES;
    const preferredDomain = graph.isFinal(ready.stage) && isCostly ? engineDomain : undefined;
    const { service, resultBytes } = ready.definition;
    const laterMs = this.laterMs(graph, ready.stage);
    const { pieceKey } = request.attributes;
    const shortestLaterMs = this.shortestLaterMs(graph, ready.stage);
    const startedAt = clock.now();
    const outcome = await stages.run(
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
        ...(preferredDomain !== undefined && { preferredDomain }),
        priority: request.priority,
        dueAt: request.dueAt - laterMs,
        expiresAt: request.usefulUntil - FIRST_EVENT_MS - shortestLaterMs,
      },
      cancellation,
    );
    metrics.stageEnded(service, outcome.kind, clock.now() - startedAt);
    request.trace.note(`stage${ready.stage}:${outcome.kind}`, clock.now());
    return outcome;
  }

  /** @returns typical time from the end of the stage to the first event, in ms */
  private laterMs(graph: StageGraph, stage: number): number {
    const [, ...later] = graph.remainingServices(stage);
    return later.reduce(
      (sum, service) => sum + this.callMs(service) * USUAL_CALL_FACTOR,
      USUAL_FIRST_EVENT_MS,
    );
  }

  private shortestLaterMs(graph: StageGraph, stage: number): number {
    const [, ...later] = graph.remainingServices(stage);
    return later.reduce((sum, service) => sum + this.callMs(service), 0);
  }

  private callMs(service: string): number {
    return this.services.table()?.service(service)?.stage?.callMs ?? 0;
  }

  private releaseConsumed(request: CallerRequest, graph: StageGraph, stage: number): void {
    graph.consumedBy(stage).forEach((source) => {
      const service = request.route.stages[source]?.service;
      if (service !== undefined) this.services.stages.release(service, graph.handlesOf(source));
    });
  }

  private releaseFinal(request: CallerRequest, graph: StageGraph): void {
    const finals = new Set(graph.finalHandles());
    request.route.stages.forEach((stage, index) => {
      const handles = graph.handlesOf(index).filter((handle) => finals.has(handle));
      this.services.stages.release(stage.service, handles);
    });
  }
}
