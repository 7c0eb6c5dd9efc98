/** Command line of `citronstage`: parses arguments and settings and sets the exit code. */
import { readFileSync } from 'node:fs';
import yargs, { type Argv } from 'yargs';
import { formatProblem, readSettings } from '../settings/SettingsFile.js';
import { CliSettings } from './CliSettings.js';
import { addCheckCommand } from './CheckCommand.js';
import { addCommands, type CommandHandler } from './CommandTable.js';
import type { ConfigurationFormat } from './ConfigurationFormat.js';
import { OperatorClient } from './OperatorClient.js';
import {
  EXIT_CODE,
  usageError,
  type CliContext,
  type CliError,
  type CliResult,
  type CliStreams,
  type LocalHandler,
} from './Types.js';

/** Environment variable that holds the operator's token. */
const TOKEN_VARIABLE = 'CITRONSTAGE_TOKEN';

/** Options shared by all commands. */
interface CommonArguments {
  readonly config?: string;
  readonly check?: boolean;
  readonly entry?: string[];
  readonly tokenFile?: string;
  readonly json?: boolean;
}

/**
 * Runs one command.
 * @param args - command-line arguments, without the paths of Node.js and of the script
 * @param version - version printed by `--version`
 * @param streams - output and environment
 * @param format - form of the configurations that `check-configuration` checks; without it, there is
 *   no such command
 * @returns exit code: 0 success, 1 failure or findings, 2 invalid arguments, settings or file
 */
export async function runCli(
  args: readonly string[],
  version: string,
  streams: CliStreams,
  format?: ConfigurationFormat,
): Promise<number> {
  const parsed = await parseArguments(args, version, streams, format);
  if (!parsed.ok) return reportError(parsed.error, streams, false);
  if (parsed.value === null) return 0;
  const { handler, localHandler, common } = parsed.value;
  const json = common.json ?? false;
  if (localHandler) return runLocalCommand(localHandler, common, streams);
  const context = createContext(common, streams);
  if (!context.ok) return reportError(context.error, streams, json);
  if (common.check) {
    streams.out('settings are valid');
    return 0;
  }
  if (!handler)
    return reportError(usageError('expected a command; see --help').error, streams, json);
  const result = await handler(context.value);
  if (!result.ok) return reportError(result.error, streams, json);
  for (const line of result.value) streams.out(line);
  return 0;
}

async function runLocalCommand(
  handler: LocalHandler,
  { json = false, check }: CommonArguments,
  streams: CliStreams,
): Promise<number> {
  if (check) {
    streams.out('arguments are valid');
    return 0;
  }
  const result = await handler(json);
  if (!result.ok) return reportError(result.error, streams, json);
  result.value.lines.forEach((line) => streams.out(line));
  return result.value.exitCode;
}

type ParsedCommand = {
  readonly handler: CommandHandler | null;
  readonly localHandler: LocalHandler | null;
  readonly common: CommonArguments;
} | null;

/** @returns the selected command, or null if help or the version was printed */
async function parseArguments(
  args: readonly string[],
  version: string,
  streams: CliStreams,
  format: ConfigurationFormat | undefined,
): Promise<CliResult<ParsedCommand>> {
  let selected: CommandHandler | null = null;
  let localHandler: LocalHandler | null = null;
  let printed = '';
  let problem: string | null = null;
  const commands = addCommands(addCommonOptions(yargs()), (handler) => {
    selected = handler;
  });
  const program = format
    ? addCheckCommand(commands, format, (handler) => {
        localHandler = handler;
      })
    : commands;
  const common = (await program
    .scriptName('citronstage')
    .version(version)
    .help()
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      problem ??= message || error?.message || 'invalid arguments';
    })
    .parseAsync([...args], {}, (_error, _parsed, output) => {
      printed = output;
    })) as CommonArguments;
  if (problem !== null) return usageError(problem, 'see citronstage --help');
  if (printed !== '') {
    streams.out(printed);
    return { ok: true, value: null };
  }
  return { ok: true, value: { handler: selected, localHandler, common } };
}

function addCommonOptions(program: Argv): Argv {
  return program
    .option('config', { type: 'string', describe: 'Settings file (JSON with comments)' })
    .option('check', { type: 'boolean', describe: 'Check settings and arguments, then exit' })
    .option('entry', {
      type: 'string',
      array: true,
      nargs: 1,
      describe: 'Base URL of an entry; may be given several times',
    })
    .option('token-file', {
      type: 'string',
      describe: `File with the operator's token; else ${TOKEN_VARIABLE} is read`,
    })
    .option('json', { type: 'boolean', describe: 'Print JSON' });
}

function createContext(common: CommonArguments, streams: CliStreams): CliResult<CliContext> {
  const settings =
    common.config === undefined
      ? ({ ok: true, value: CliSettings.parse({}) } as const)
      : readSettings(common.config, CliSettings);
  if (!settings.ok) return usageError(...settings.problems.map(formatProblem));
  const entries = common.entry ?? settings.value.entries;
  if (entries.length === 0) return usageError('expected --entry URL or "entries" in the settings');
  const invalid = entries.filter((entry) => !URL.canParse(entry));
  if (invalid.length > 0) return usageError(`--entry: expected a URL, got "${invalid[0]}"`);
  const token = readToken(common.tokenFile ?? settings.value.tokenFile, streams);
  if (!token.ok) return token;
  const { timeoutMs } = settings.value;
  const connection = new OperatorClient({ entries, token: token.value, timeoutMs });
  return { ok: true, value: { connection, streams, json: common.json ?? false } };
}

function readToken(file: string | undefined, streams: CliStreams): CliResult<string> {
  if (file === undefined) {
    const token = streams.environment[TOKEN_VARIABLE];
    if (token) return { ok: true, value: token };
    return usageError(`expected --token-file or the environment variable ${TOKEN_VARIABLE}`);
  }
  try {
    // One small file, read before the command runs.
    // eslint-disable-next-line n/no-sync
    const token = readFileSync(file, 'utf8').trim();
    return token ? { ok: true, value: token } : usageError(`${file}: the token file is empty`);
  } catch (error) {
    return usageError(`${file}: ${error instanceof Error ? error.message : String(error)}`);
  }
}

function reportError(error: CliError, streams: CliStreams, json: boolean): number {
  if (json) {
    const body = error.kind === 'refused' ? error.error : error;
    streams.out(JSON.stringify({ error: body }));
  }
  const messages = error.kind === 'unreachable' ? [error.message] : error.messages;
  const label = error.kind === 'refused' ? error.error.kind : error.kind;
  for (const message of messages) streams.err(`${label}: ${message}`);
  return EXIT_CODE[error.kind];
}
