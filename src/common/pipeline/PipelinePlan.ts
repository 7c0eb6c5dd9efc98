/** What one request of a client account runs: the stages of its template that the account uses. */
import type { Entitlement, Stage, Template } from '../protocol/Configuration.js';

/** Stages of one request in order, and what the request needs. */
export interface PipelinePlan {
  readonly template: string;
  readonly stages: readonly Stage[];
  /** True if a stage is non-idempotent; the caller must then give an idempotency key. */
  readonly needsIdempotencyKey: boolean;
}

/**
 * Selects the stages that a request runs.
 * @param template - pipeline template in force
 * @param entitlement - what the client account may do with it
 * @returns the plan; `stages` is empty if the entitlement names no stage of the template
 */
export function createPipelinePlan(template: Template, entitlement: Entitlement): PipelinePlan {
  const used = entitlement.stages && new Set(entitlement.stages);
  const stages = template.stages.filter((stage) => !used || used.has(stage.name));
  return {
    template: template.name,
    stages,
    needsIdempotencyKey: stages.some((stage) => !stage.idempotent),
  };
}
