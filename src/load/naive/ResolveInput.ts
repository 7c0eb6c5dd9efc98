/** References between stages, as the baseline resolves them. */
import type { Stage } from '../../common/protocol/Configuration.js';

/**
 * @param stage - stage whose input is wanted
 * @param outputs - outputs by stage name, with the caller's input under `request`
 * @returns stage input without references
 */
export function resolveInput(stage: Stage, outputs: ReadonlyMap<string, unknown>): unknown {
  const fields = Object.entries(stage.input).map(([field, value]) => {
    if (typeof value !== 'string' || !value.startsWith('$')) return [field, value];
    const [source, name] = value.slice(1).split('.') as [string, string];
    return [field, (outputs.get(source) as Record<string, unknown> | undefined)?.[name]];
  });
  return Object.fromEntries(fields);
}
