/** Types and helpers shared by the commands of `citronstage`. */
import type { OperatorError } from '../common/protocol/Operator.js';

/** Standard streams and environment variables of the process. */
export interface CliStreams {
  /** Writes a line to standard output. */
  out(line: string): void;
  /** Writes a line to standard error. */
  err(line: string): void;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/**
 * Errors of the command line.
 * - `usage`: arguments, settings or a file are invalid; no change was sent.
 * - `unreadable`: a file or the version in force could not be read.
 * - `unreachable`: no entry answered.
 * - `refused`: the entry answered with an error.
 */
export type CliError =
  | { readonly kind: 'usage' | 'unreadable'; readonly messages: readonly string[] }
  | { readonly kind: 'unreachable'; readonly message: string }
  | {
      readonly kind: 'refused';
      readonly error: OperatorError;
      /** Lines for the operator, with file and line number where they are known. */
      readonly messages: readonly string[];
    };

/** Value, or the error that ends the command. */
export type CliResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: CliError };

/** Connection to the operator interface of the entries. */
export interface OperatorConnection {
  /**
   * Sends a call.
   * @param method - HTTP method
   * @param path - path relative to `/v1/operator/`
   * @param body - JSON body
   * @returns body of the response, or the error
   */
  call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<CliResult<unknown>>;
}

/** Context passed to the handler of each command. */
export interface CliContext {
  readonly connection: OperatorConnection;
  readonly streams: CliStreams;
  /** Whether to print JSON. */
  readonly json: boolean;
}

/** Outcome of a command that needs no connection to an entry. */
export interface LocalOutcome {
  readonly exitCode: number;
  /** Lines for standard output. */
  readonly lines: readonly string[];
}

/** Runs a command that needs no connection to an entry. */
export type LocalHandler = (json: boolean) => Promise<CliResult<LocalOutcome>>;

/** Exit code for each kind of error. */
export const EXIT_CODE: Readonly<Record<CliError['kind'], number>> = {
  usage: 2,
  unreadable: 2,
  unreachable: 1,
  refused: 1,
};

/**
 * Creates a usage error.
 * @param messages - lines for the operator
 * @returns result with the error
 */
export function usageError(...messages: string[]): { ok: false; error: CliError } {
  return { ok: false, error: { kind: 'usage', messages } };
}
