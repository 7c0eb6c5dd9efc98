/** Reads settings in JSON with comments and validates them with a zod schema. */
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

/** Exit code of a process with invalid settings or arguments. */
export const EXIT_INVALID_SETTINGS = 2;

/** Problem in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Line number, starting at 1; 0 if the file could not be read. */
  readonly line: number;
  /** Path of the field, such as `backend.slots`; empty for the whole file. */
  readonly path: string;
  /** Expected value. */
  readonly expected: string;
}

/** Outcome of reading settings. */
export type SettingsResult<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly problems: readonly SettingsProblem[] };

/**
 * Parses and validates the text of a settings file.
 * @param file - name used in problems
 * @param text - JSON with comments and trailing commas
 * @param schema - schema with defaults
 * @returns validated settings or all problems found
 */
export function parseSettings<S extends z.ZodType>(
  file: string,
  text: string,
  schema: S,
): SettingsResult<z.infer<S>> {
  const syntaxErrors: ParseError[] = [];
  const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  if (syntaxErrors.length > 0 || !tree) {
    return { ok: false, problems: syntaxErrors.map((error) => toSyntaxProblem(file, text, error)) };
  }
  const parsed = schema.safeParse(getNodeValue(tree));
  if (parsed.success) return { ok: true, value: parsed.data };
  const problems = parsed.error.issues.map((issue) => ({
    file,
    line: lineAt(text, nearestNode(tree, issue.path as (string | number)[]).offset),
    path: issue.path.join('.'),
    expected: issue.message,
  }));
  return { ok: false, problems };
}

/**
 * Reads and validates a settings file.
 * @param file - path of the file
 * @param schema - schema with defaults
 * @returns validated settings or all problems found
 */
export function readSettings<S extends z.ZodType>(
  file: string,
  schema: S,
): SettingsResult<z.infer<S>> {
  let text: string;
  try {
    // Settings are read before anything is started, and again only on SIGHUP.
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
 * Formats a problem as one line.
 * @param problem - problem to describe
 * @returns `FILE:LINE: PATH: expected ...`
 */
export function formatProblem(problem: SettingsProblem): string {
  const { file, line, path, expected } = problem;
  return `${file}:${line}: ${path || '(whole file)'}: ${expected}`;
}

function toSyntaxProblem(file: string, text: string, error: ParseError): SettingsProblem {
  return {
    file,
    line: lineAt(text, error.offset),
    path: '',
    expected: `valid JSON with comments (${printParseErrorCode(error.error)})`,
  };
}

/** Returns the node at the path, or its nearest ancestor if the field is absent. */
function nearestNode(tree: Node, path: readonly (string | number)[]): Node {
  for (let length = path.length; length > 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node) return node;
  }
  return tree;
}

function lineAt(text: string, offset: number): number {
  const linesUpToOffset = text.slice(0, offset).split('\n');
  return linesUpToOffset.length;
}
