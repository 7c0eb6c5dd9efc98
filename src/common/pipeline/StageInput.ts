/** Resolves the references of a stage's input. */
import type { Stage } from '../protocol/Configuration.js';

/** Name under which a reference addresses the caller's input. */
const REQUEST_SCOPE = 'request';

/** Values that references can address: the caller's input as `request`, outputs by stage name. */
export type StageScope = ReadonlyMap<string, unknown>;

/**
 * Makes the scope of a request before any stage ran.
 * @param input - caller's input
 * @returns a scope; stage outputs are added under the stage's name
 */
export function createScope(input: Readonly<Record<string, unknown>>): Map<string, unknown> {
  return new Map<string, unknown>([[REQUEST_SCOPE, input]]);
}

/**
 * Replaces references by their values. A reference to an absent field or to a stage that was
 * skipped leaves the field out, so that defaults and optional fields of the stage apply.
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

function fieldOf(holder: unknown, field: string): unknown {
  if (holder === null || typeof holder !== 'object' || !Object.hasOwn(holder, field)) {
    return undefined;
  }
  return (holder as Record<string, unknown>)[field];
}
