/** Selects the stages of a template that a request of a client account runs. */
import type { Entitlement, Stage, Template } from '../protocol/Configuration.js';

/** Stages of one request in execution order. */
export interface PipelinePlan {
  readonly template: string;
  readonly stages: readonly Stage[];
  /** Whether a stage is non-idempotent, so that the caller must provide an idempotency key. */
  readonly needsIdempotencyKey: boolean;
}

/**
 * Selects the stages that a request runs.
 * @param template - pipeline template in force
 * @param entitlement - the client account's entitlement to the template
 * @returns the plan; `stages` is empty if the entitlement lists no stage of the template
 */
export function createPipelinePlan(template: Template, entitlement: Entitlement): PipelinePlan {
  const usedNames = entitlement.stages && new Set(entitlement.stages);
  const stages = template.stages.filter((stage) => !usedNames || usedNames.has(stage.name));
  return {
    template: template.name,
    stages,
    needsIdempotencyKey: stages.some((stage) => !stage.idempotent),
  };
}
