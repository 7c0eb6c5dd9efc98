import type { ServiceDefinition } from '../common/serving/ServingConfiguration.js';

/** Weight of the newest stage in the mean. */
const GAIN = 0.1;

/** Part of a full call that a call carries before anything is known. */
const INITIAL_FULLNESS = 0.4;

/** Mean time from asking for a stage to its results, by service, waiting included. */
export class StageTimes {
  private readonly means = new Map<string, number>();

  note(service: string, durationMs: number): void {
    const known = this.means.get(service);
    this.means.set(service, known === undefined ? durationMs : known + GAIN * (durationMs - known));
  }

  /** @returns expected time of one stage, in ms */
  expected(definition: ServiceDefinition | undefined): number {
    const stage = definition?.stage;
    if (!definition || !stage) return 0;
    const initial = stage.callMs + INITIAL_FULLNESS * stage.batchSize * stage.pieceMs;
    return this.means.get(definition.name) ?? initial;
  }

  /** @returns shortest possible time of one stage, in ms */
  static shortest(definition: ServiceDefinition | undefined, pieces: number): number {
    const stage = definition?.stage;
    if (!stage) return 0;
    return stage.callMs + Math.min(pieces, stage.batchSize) * stage.pieceMs;
  }
}
