/** Resolves references in the input of a stage. */
import type { Stage } from '../protocol/Configuration.js';

/** Scope name of the caller's input in references. */
const REQUEST_SCOPE = 'request';

/** Values available to references: the caller's input as `request`, and outputs by stage name. */
export type StageScope = ReadonlyMap<string, unknown>;

/**
 * Creates the scope of a request before its first stage.
 * @param input - caller's input
 * @returns scope, to which the output of each stage is added under the stage's name
 */
export function createScope(input: Readonly<Record<string, unknown>>): Map<string, unknown> {
  return new Map<string, unknown>([[REQUEST_SCOPE, input]]);
}

/**
 * Replaces references by their values. Input fields that refer to an absent field or to a skipped
 * stage are omitted, so that the stage's defaults and optional fields apply.
 * @param stage - stage whose input is resolved
 * @param scope - caller's input and outputs of earlier stages
 * @returns input of the stage
 */
export function resolveStageInput(stage: Stage, scope: StageScope): Record<string, unknown> {
  const resolved = Object.entries(stage.input)
    .map(([field, value]) => [field, resolveValue(value, scope)] as const)
    .filter(([, value]) => value !== undefined);
  return Object.fromEntries(resolved);
}

function resolveValue(value: unknown, scope: StageScope): unknown {
  if (typeof value !== 'string' || !value.startsWith('$')) return value;
  const [name, ...path] = value.slice(1).split('.');
  return path.reduce(fieldOf, scope.get(name ?? ''));
}

function fieldOf(container: unknown, field: string): unknown {
  if (container === null || typeof container !== 'object' || !Object.hasOwn(container, field)) {
    return undefined;
  }
  return (container as Record<string, unknown>)[field];
}
