import type { RouteStage } from './ServingConfiguration.js';

/** Pieces of a stage that can run now, with the results that they read. */
export interface ReadyStage {
  readonly stage: number;
  readonly definition: RouteStage;
  readonly pieces: number;
  /** Handles of the results to read; empty for a stage that starts from the request's key. */
  readonly inputs: readonly string[];
  /** Size of all of them together, in bytes. */
  readonly inputBytes: number;
}

/** Order of the stages of one request: which may start, and whose results are still needed. */
export class StageGraph {
  private readonly handles = new Map<number, readonly string[]>();

  private readonly started = new Set<number>();

  /**
   * @param stages - stages of the route
   * @param pieceCounts - pieces of each stage; a stage without pieces is omitted
   */
  constructor(
    private readonly stages: readonly RouteStage[],
    private readonly pieceCounts: readonly number[],
  ) {}

  /** @returns stages that became ready; each is returned once */
  takeReady(): ReadyStage[] {
    return this.stages.flatMap((definition, stage) => {
      const pieces = this.piecesOf(stage);
      const isReady = pieces > 0 && !this.started.has(stage) && this.inputsComplete(definition);
      if (!isReady) return [];
      this.started.add(stage);
      const inputs = definition.dependsOn.flatMap((from) => this.handles.get(from) ?? []);
      const inputBytes = definition.dependsOn.reduce(
        (sum, from) => sum + this.piecesOf(from) * (this.stages[from]?.resultBytes ?? 0),
        0,
      );
      return [{ stage, definition, pieces, inputs, inputBytes }];
    });
  }

  /** Notes the results of a stage, in the order of its pieces. */
  complete(stage: number, handles: readonly string[]): void {
    this.handles.set(stage, handles);
  }

  get isComplete(): boolean {
    return this.stages.every((_, stage) => this.piecesOf(stage) === 0 || this.handles.has(stage));
  }

  /** @returns handles that the request itself reads: of stages that no other stage reads */
  finalHandles(): string[] {
    return this.stages.flatMap((_, stage) =>
      this.readersOf(stage).length === 0 ? [...(this.handles.get(stage) ?? [])] : [],
    );
  }

  /** @returns stages that fed the given one and whose other readers have also completed */
  consumedBy(stage: number): number[] {
    const sources = this.stages[stage]?.dependsOn ?? [];
    return sources.filter((source) =>
      this.readersOf(source).every((reader) => this.handles.has(reader)),
    );
  }

  handlesOf(stage: number): readonly string[] {
    return this.handles.get(stage) ?? [];
  }

  /**
   * @param stage - first stage of a chain
   * @param durationMs - shortest time of a stage
   * @returns time by which the chain may start later than the longest one and end with it, in ms
   */
  slackMs(stage: number, durationMs: (service: string) => number): number {
    const lengthOf = (first: number) =>
      this.remainingServices(first).reduce((sum, service) => sum + durationMs(service), 0);
    const lengths = this.stages.map((definition, index) =>
      definition.dependsOn.length === 0 && this.piecesOf(index) > 0 ? lengthOf(index) : 0,
    );
    return Math.max(0, ...lengths) - lengthOf(stage);
  }

  /** True if the request itself reads the results of the stage. */
  isFinal(stage: number): boolean {
    return this.readersOf(stage).length === 0;
  }

  /** @returns services of stages that have pieces, from the given stage to the end of its chain */
  remainingServices(stage: number): string[] {
    const [reader] = this.readersOf(stage);
    const own = this.stages[stage]?.service;
    const rest = reader === undefined ? [] : this.remainingServices(reader);
    return own === undefined ? rest : [own, ...rest];
  }

  private piecesOf(stage: number): number {
    return this.pieceCounts[stage] ?? 0;
  }

  private inputsComplete(definition: RouteStage): boolean {
    return definition.dependsOn.every(
      (source) => this.piecesOf(source) === 0 || this.handles.has(source),
    );
  }

  private readersOf(stage: number): number[] {
    return this.stages.flatMap((definition, reader) =>
      definition.dependsOn.includes(stage) && this.piecesOf(reader) > 0 ? [reader] : [],
    );
  }
}
