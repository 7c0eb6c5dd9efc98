/** Structured JSON logs through consola. */
import { createConsola, type ConsolaInstance } from 'consola';

/** Log levels by name. */
const LEVELS = { error: 0, warn: 1, info: 3, debug: 4 } as const;

/** Name of a log level. */
export type LogLevel = keyof typeof LEVELS;

/** Fields whose values are never written. */
const SECRET_FIELD = /token|secret|authorization|password/i;

/** Logger with fields, such as request id and account. */
export type Logger = ConsolaInstance;

/**
 * Creates a logger that writes one JSON object per line.
 * @param processName - value of the field `process`
 * @param level - least severe level that is written
 * @param writeLine - receives each line; writes to standard error by default
 * @returns a consola instance; call it with a message and an object of fields
 */
export function createLogger(
  processName: string,
  level: LogLevel = 'info',
  writeLine: (line: string) => void = writeToStandardError,
): Logger {
  return createConsola({
    level: LEVELS[level],
    reporters: [
      {
        log: (entry) => {
          const fields = Object.assign(errorFields(entry.args), ...entry.args.filter(isFields));
          const message = entry.args.filter((arg) => typeof arg === 'string').join(' ');
          const line = {
            time: entry.date.toISOString(),
            level: entry.type,
            process: processName,
            message,
            ...fields,
          };
          writeLine(JSON.stringify(line, redact));
        },
      },
    ],
  });
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

function isFields(arg: unknown): arg is Record<string, unknown> {
  return typeof arg === 'object' && arg !== null && !(arg instanceof Error);
}

/** Returns the message of an error among the arguments as the field `error`. */
function errorFields(args: readonly unknown[]): Record<string, string> {
  const error = args.find((arg) => arg instanceof Error);
  return error instanceof Error ? { error: error.message } : {};
}

function redact(field: string, value: unknown): unknown {
  if (value instanceof Error) return value.message;
  return SECRET_FIELD.test(field) && typeof value === 'string' ? '[redacted]' : value;
}
