/** Runs `citronstage` in the current process. */
import { readFileSync } from 'node:fs';
import { runCli } from './Cli.js';
import type { ConfigurationFormat } from './ConfigurationFormat.js';

/** Exit code if the output cannot be written; not 2, which states that no change was sent. */
const EXIT_OUTPUT_LOST = 1;

/**
 * Runs the command that the arguments of the process name and sets the exit code.
 * @param format - form of the configurations that `check-configuration` checks
 */
export async function runCliProgram(format?: ConfigurationFormat): Promise<void> {
  // Read once at start. Importing the file as a module would move the root of the compiled tree.
  // eslint-disable-next-line n/no-sync
  const packageText = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8');
  const { version } = JSON.parse(packageText) as { version: string };
  const streams = {
    out: (line: string) => process.stdout.write(`${line}\n`),
    err: (line: string) => process.stderr.write(`${line}\n`),
    environment: process.env,
  };
  process.stdout.on('error', onOutputError);
  process.exitCode = await runCli(process.argv.slice(2), version, streams, format);
}

/** Ends the process if the output is lost, unless its reader, such as `head`, wanted no more. */
function onOutputError(error: NodeJS.ErrnoException): void {
  if (error.code === 'EPIPE') return;
  process.stderr.write(`cannot write the output: ${error.message}\n`);
  process.exit(EXIT_OUTPUT_LOST);
}
