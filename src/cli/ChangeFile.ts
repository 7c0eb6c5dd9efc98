/**
 * Reads the files of the `publish` and `change` commands: JSON with comments. Errors name file,
 * line and field.
 */
import { z } from 'zod';
import { formatProblem, readSettings } from '../settings/SettingsFile.js';
import type { FieldProblem } from '../common/protocol/Operator.js';
import { usageError, type CliResult } from './Types.js';

/** Checked value of a file, with a function that locates problems which the entry reports later. */
export interface ChangeFile<T> {
  readonly value: T;
  /** @returns one line of text for each problem, with file and line number */
  describeProblems(problems: readonly FieldProblem[]): string[];
}

/**
 * Reads and checks a file.
 * @param file - path of the file
 * @param schema - schema of a template or an account
 * @returns checked value, or all problems of the file
 */
export function readChangeFile<S extends z.ZodType>(
  file: string,
  schema: S,
): CliResult<ChangeFile<z.infer<S>>> {
  const raw = readSettings(file, z.unknown());
  if (!raw.ok) return usageError(...raw.problems.map(formatProblem));
  const checked = readSettings(file, schema);
  if (!checked.ok) return usageError(...checked.problems.map(formatProblem));
  const describeProblems = (problems: readonly FieldProblem[]) => locateProblems(file, problems);
  // The schemas drop unknown fields. In a file an unknown field is usually a misspelt name.
  const unknown = unknownFields(raw.value, checked.value, []);
  if (unknown.length > 0) return usageError(...describeProblems(unknown));
  return { ok: true, value: { value: checked.value, describeProblems } };
}

/** Returns a problem for each field of the file that the schema dropped. */
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

/** Passes the problems to the settings parser as schema issues, so that it finds their lines. */
function locateProblems(file: string, problems: readonly FieldProblem[]): string[] {
  const schema = z.unknown().superRefine((_value, context) => {
    for (const { path, message } of problems) {
      context.addIssue({ code: 'custom', path: [...path], message });
    }
  });
  const located = readSettings(file, schema);
  return located.ok ? [] : located.problems.map(formatProblem);
}
