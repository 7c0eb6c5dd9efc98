/** Resolves references between stages for the naive baseline. */
import type { Stage } from '../../common/protocol/Configuration.js';

/**
 * Replaces references to earlier outputs in the input of a stage.
 * @param stage - stage whose input is resolved
 * @param outputs - outputs by stage name, with the caller's input under `request`
 * @returns stage input with all `$stage.field` references replaced by their values
 */
export function resolveInput(stage: Stage, outputs: ReadonlyMap<string, unknown>): unknown {
  const fields = Object.entries(stage.input).map(([field, value]) => {
    if (typeof value !== 'string' || !value.startsWith('$')) return [field, value];
    const [source, name] = value.slice(1).split('.') as [string, string];
    return [field, (outputs.get(source) as Record<string, unknown> | undefined)?.[name]];
  });
  return Object.fromEntries(fields);
}
