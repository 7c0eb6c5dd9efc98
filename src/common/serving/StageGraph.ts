import type { RouteStage } from './ServingConfiguration.js';

/** A stage that can start, with the results that it reads. */
export interface ReadyStage {
  /** Index of the stage in the route. */
  readonly stage: number;
  readonly definition: RouteStage;
  /** Number of pieces. */
  readonly pieces: number;
  /** Handles of the results to read; empty for a stage that reads the request's key instead. */
  readonly inputs: readonly string[];
  /** Total size of the inputs, in bytes. */
  readonly inputBytes: number;
}

/**
 * Dependency graph of the stages of one request. Determines which stages can start and which
 * results are still needed. A stage without pieces does not run and counts as complete.
 */
export class StageGraph {
  private readonly handles = new Map<number, readonly string[]>();

  /** Time at which each stage completed, on the clock, in ms. */
  private readonly completionTimes = new Map<number, number>();

  private readonly started = new Set<number>();

  /**
   * @param stages - stages of the route
   * @param pieceCounts - number of pieces of each stage, by its index
   */
  constructor(
    private readonly stages: readonly RouteStage[],
    private readonly pieceCounts: readonly number[],
  ) {}

  /**
   * Marks the stages whose inputs are complete as started.
   * @returns the stages that became ready since the last call
   */
  startReady(): ReadyStage[] {
    return this.stages.flatMap((definition, stage) => {
      const pieces = this.piecesOf(stage);
      const isReady = pieces > 0 && !this.started.has(stage) && this.areInputsComplete(definition);
      if (!isReady) return [];
      this.started.add(stage);
      const inputs = definition.dependsOn.flatMap((source) => this.handles.get(source) ?? []);
      const inputBytes = definition.dependsOn.reduce(
        (sum, source) => sum + this.piecesOf(source) * (this.stages[source]?.resultBytes ?? 0),
        0,
      );
      return [{ stage, definition, pieces, inputs, inputBytes }];
    });
  }

  /**
   * Records the results of a stage.
   * @param stage - index of the stage
   * @param handles - handles of the results, in the order of the pieces
   * @param completedAt - time of completion, on the clock, in ms
   */
  complete(stage: number, handles: readonly string[], completedAt: number): void {
    this.handles.set(stage, handles);
    this.completionTimes.set(stage, completedAt);
  }

  /**
   * @param stage - index of a stage whose inputs are complete
   * @param retentionMs - returns the time for which servers of a service store results, in ms
   * @returns time until which all inputs are stored, on the clock, in ms; infinite without inputs
   */
  inputsStoredUntil(stage: number, retentionMs: (service: string) => number): number {
    const sources = this.stages[stage]?.dependsOn ?? [];
    const ends = sources.map((source) => {
      const { service = '' } = this.stages[source] ?? {};
      return (this.completionTimes.get(source) ?? Infinity) + retentionMs(service);
    });
    return Math.min(Infinity, ...ends);
  }

  /** Whether all stages are complete. */
  get isComplete(): boolean {
    return this.stages.every((_, stage) => this.piecesOf(stage) === 0 || this.handles.has(stage));
  }

  /** @returns handles of the results that the request itself reads, not another stage */
  finalHandles(): string[] {
    return this.stages.flatMap((_, stage) =>
      this.readersOf(stage).length === 0 ? [...(this.handles.get(stage) ?? [])] : [],
    );
  }

  /**
   * @param stage - index of a stage that completed
   * @returns stages that it reads and whose other readers have also completed, so that their
   *   results are no longer needed
   */
  releasableAfter(stage: number): number[] {
    const sources = this.stages[stage]?.dependsOn ?? [];
    return sources.filter((source) =>
      this.readersOf(source).every((reader) => this.handles.has(reader)),
    );
  }

  /** @returns handles of the stage's results; empty until it completes */
  handlesOf(stage: number): readonly string[] {
    return this.handles.get(stage) ?? [];
  }

  /**
   * Returns how long a chain of stages can be delayed without ending later than the longest chain
   * of the request.
   * @param stage - index of the first stage of the chain
   * @param durationMs - returns the minimum duration of a stage of the service, in ms
   * @returns slack of the chain, in ms
   */
  slackMs(stage: number, durationMs: (service: string) => number): number {
    const durationFrom = (first: number) =>
      this.remainingServices(first).reduce((sum, service) => sum + durationMs(service), 0);
    const durations = this.stages.map((definition, index) =>
      definition.dependsOn.length === 0 && this.piecesOf(index) > 0 ? durationFrom(index) : 0,
    );
    return Math.max(0, ...durations) - durationFrom(stage);
  }

  /** Whether the request itself reads the results of the stage, as no other stage does. */
  isFinal(stage: number): boolean {
    return this.readersOf(stage).length === 0;
  }

  /**
   * @param stage - index of a stage
   * @returns services of the stages that run from this stage to the end of its chain
   */
  remainingServices(stage: number): string[] {
    const [reader] = this.readersOf(stage);
    const service = this.stages[stage]?.service;
    const laterServices = reader === undefined ? [] : this.remainingServices(reader);
    return service === undefined ? laterServices : [service, ...laterServices];
  }

  private piecesOf(stage: number): number {
    return this.pieceCounts[stage] ?? 0;
  }

  private areInputsComplete(definition: RouteStage): boolean {
    return definition.dependsOn.every(
      (source) => this.piecesOf(source) === 0 || this.handles.has(source),
    );
  }

  /** @returns indexes of the stages that run and read the results of the stage */
  private readersOf(stage: number): number[] {
    return this.stages.flatMap((definition, reader) =>
      definition.dependsOn.includes(stage) && this.piecesOf(reader) > 0 ? [reader] : [],
    );
  }
}
