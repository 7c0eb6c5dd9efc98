/** Reads settings in JSON with comments and checks them against a zod schema. */
import { readFileSync } from 'node:fs';
import {
  findNodeAtLocation,
  getNodeValue,
  parseTree,
  printParseErrorCode,
  type Node,
  type ParseError,
} from 'jsonc-parser';
import type { z } from 'zod';

/** Exit code of a process whose settings or arguments are wrong. */
export const EXIT_BAD_SETTINGS = 2;

/** What is wrong with a settings file. `line` counts from 1; 0 if the file could not be read. */
export interface SettingsProblem {
  readonly file: string;
  readonly line: number;
  /** Path of the field, such as `backend.slots`; empty for the whole file. */
  readonly path: string;
  /** What was expected. */
  readonly expected: string;
}

/** Outcome of reading settings. */
export type SettingsResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly problems: readonly SettingsProblem[] };

/**
 * Parses and checks the text of a settings file.
 * @param file - name used in problems
 * @param text - JSON with comments and trailing commas
 * @param schema - schema with defaults
 * @returns checked settings or all problems found
 */
export function parseSettings<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): SettingsResult<z.infer<S>> {
  const syntaxErrors: ParseError[] = [];
  const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  if (syntaxErrors.length > 0 || !tree) {
    return { ok: false, problems: syntaxErrors.map((error) => syntaxProblem(file, text, error)) };
  }
  const parsed = schema.safeParse(getNodeValue(tree));
  if (parsed.success) return { ok: true, value: parsed.data };
  const problems = parsed.error.issues.map((issue) => ({
    file,
    line: lineOf(text, nearestNode(tree, issue.path as (string | number)[]).offset),
    path: issue.path.join('.'),
    expected: issue.message,
  }));
  return { ok: false, problems };
}

/**
 * Reads and checks a settings file.
 * @param file - path of the file
 * @param schema - schema with defaults
 * @returns checked settings or all problems found
 */
export function readSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): SettingsResult<z.infer<S>> {
  let text: string;
  try {
    // Settings are read once, before anything is started.
    // eslint-disable-next-line n/no-sync
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return {
      ok: false,
      problems: [{ file, line: 0, path: '', expected: `a readable file (${reason})` }],
    };
  }
  return parseSettings(file, text, schema);
}

/**
 * Writes a problem on one line.
 * @param problem - problem to describe
 * @returns `FILE:LINE: PATH: expected ...`
 */
export function describeProblem(problem: SettingsProblem): string {
  const { file, line, path, expected } = problem;
  return `${file}:${line}: ${path || '(whole file)'}: ${expected}`;
}

function syntaxProblem(file: string, text: string, error: ParseError): SettingsProblem {
  return {
    file,
    line: lineOf(text, error.offset),
    path: '',
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** The node at the path, or its nearest ancestor if the field is absent. */
function nearestNode(tree: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return node;
  }
  return tree;
}

function lineOf(text: string, offset: number): number {
  const linesBefore = text.slice(0, offset).split('\n');
  return linesBefore.length;
}
