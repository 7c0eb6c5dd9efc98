/** Files given to publish and change: JSON with comments, errors with file, line and field. */
import { z } from 'zod';
import { describeProblem, readSettings } from '../settings/SettingsFile.js';
import type { FieldProblem } from '../common/protocol/Operator.js';
import { usageError, type CliResult } from './Types.js';

/** Value of a file and a way to place problems that were found later. */
export interface ChangeFile<T> {
  readonly value: T;
  /** @returns one line for each problem, with file and line. */
  describe(problems: readonly FieldProblem[]): string[];
}

/**
 * Reads and checks a file.
 * @param file - path
 * @param schema - schema of a template or an account
 * @returns checked value, or all problems found
 */
export function readChangeFile<S extends z.ZodType>(
  file: string,
  schema: S,
): CliResult<ChangeFile<z.infer<S>>> {
  const raw = readSettings(file, z.unknown());
  if (!raw.ok) return usageError(...raw.problems.map(describeProblem));
  const checked = readSettings(file, schema);
  if (!checked.ok) return usageError(...checked.problems.map(describeProblem));
  const describe = (problems: readonly FieldProblem[]) => placeProblems(file, problems);
  // The schemas drop unknown fields; in a file these are misspelt names.
  const unknown = unknownFields(raw.value, checked.value, []);
  if (unknown.length > 0) return usageError(...describe(unknown));
  return { ok: true, value: { value: checked.value, describe } };
}

/** Fields of the file that the checked value does not have. */
function unknownFields(
  raw: unknown,
  checked: unknown,
  path: readonly (string | number)[],
): FieldProblem[] {
  if (!isContainer(raw) || !isContainer(checked)) return [];
  return Object.entries(raw).flatMap(([key, value]) => {
    const inner = [...path, Array.isArray(raw) ? Number(key) : key];
    if (!(key in checked)) return [{ path: inner, message: 'unknown field' }];
    return unknownFields(value, checked[key], inner);
  });
}

function isContainer(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

/** Gives the problems to the settings parser as issues of a schema, which finds their lines. */
function placeProblems(file: string, problems: readonly FieldProblem[]): string[] {
  const schema = z.unknown().superRefine((_value, context) => {
    for (const { path, message } of problems) {
      context.addIssue({ code: 'custom', path: [...path], message });
    }
  });
  const placed = readSettings(file, schema);
  return placed.ok ? [] : placed.problems.map(describeProblem);
}
