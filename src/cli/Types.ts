/** Parts that the operator's commands share. */
import type { OperatorError } from '../common/protocol/Operator.js';

/** Output and environment of the process. */
export interface CliStreams {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  err(line: string): void;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Errors of the command line.
 * - `usage`: arguments, settings or a file are wrong; nothing was sent.
 * - `unreachable`: no entry answered.
 * - `refused`: the entry answered with an error.
 */
export type CliError =
  | { readonly kind: 'usage'; readonly messages: readonly string[] }
  | { readonly kind: 'unreachable'; readonly message: string }
  | {
      readonly kind: 'refused';
      readonly error: OperatorError;
      /** Text for the operator, with file and line where they are known. */
      readonly messages: readonly string[];
    };

/** Outcome of a step. */
export type CliResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: CliError };

/** Call of the operator interface. */
export interface OperatorConnection {
  /**
   * @param method - HTTP method
   * @param path - path after `/v1/operator/`
   * @param body - JSON body
   * @returns body of the answer or the error
   */
  call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<CliResult<unknown>>;
}

/** What a command gets. */
export interface CliContext {
  readonly connection: OperatorConnection;
  readonly streams: CliStreams;
  readonly json: boolean;
}

/** Exit code by error kind. */
export const EXIT_CODE: Readonly<Record<CliError['kind'], number>> = {
  usage: 2,
  unreachable: 1,
  refused: 1,
};

/**
 * @param messages - one line each
 * @returns usage error
 */
export function usageError(...messages: string[]): { ok: false; error: CliError } {
  return { ok: false, error: { kind: 'usage', messages } };
}
