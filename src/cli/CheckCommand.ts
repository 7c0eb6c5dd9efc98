/** Arguments of `check-configuration`. */
import type { Argv } from 'yargs';
import type { CheckOptions } from '../common/serving/check/Types.js';
import { Address } from '../settings/CommonSettings.js';
import type { ConfigurationFormat } from './ConfigurationFormat.js';
import { runConfigurationCheck } from './queries/CheckConfiguration.js';
import { usageError, type LocalHandler } from './Types.js';

const BYTES_PER_MEGABYTE = 1_000_000;

const STORE_TIMEOUT_MS = 5000;

/** Arguments after they have been parsed. */
interface CheckArguments {
  readonly file: string;
  readonly against?: string;
  readonly store?: string;
  readonly memoryMb?: number;
  readonly retryRatio?: number;
  readonly retrySlack?: number;
  readonly processes?: number;
}

const SINGLE_OPTIONS = ['against', 'store', 'memory-mb', 'retry-ratio', 'retry-slack', 'processes'];

/**
 * Checks what yargs accepts: any number, and options that are given twice.
 * @returns what is wrong with an argument; undefined if all are valid
 */
function findInvalidArgument(args: CheckArguments): string | undefined {
  const values: Readonly<Record<string, unknown>> = { ...args };
  const repeated = SINGLE_OPTIONS.find((name) => Array.isArray(values[name]));
  if (repeated !== undefined) return `--${repeated}: given more than once`;
  const { memoryMb = 1, retryRatio = 0, retrySlack = 0, processes = 1, store } = args;
  if (!(memoryMb > 0)) return '--memory-mb: expected a number above 0';
  if (!(retryRatio >= 0)) return '--retry-ratio: expected a number of at least 0';
  if (!(retrySlack >= 0)) return '--retry-slack: expected a number of at least 0';
  if (!(Number.isSafeInteger(processes) && processes > 0)) return '--processes: expected a count';
  if (args.retrySlack !== undefined && args.retryRatio === undefined) {
    return '--retry-slack: expected --retry-ratio too';
  }
  if (store !== undefined && !Address.safeParse(store).success) return '--store: expected IP:PORT';
  return undefined;
}

function deploymentOf(args: CheckArguments): CheckOptions {
  const { memoryMb, retryRatio: ratio, retrySlack: slack = 0, processes } = args;
  return {
    ...(memoryMb !== undefined && { memoryBytes: memoryMb * BYTES_PER_MEGABYTE }),
    // One request alone in the window is checked, so the length of the window does not matter.
    ...(ratio !== undefined && { retryAllowance: { ratio, slack, windowMs: 1000 } }),
    ...(processes !== undefined && { processes }),
  };
}

function addArguments(program: Argv) {
  return program
    .positional('file', {
      type: 'string',
      demandOption: true,
      describe: 'Configuration, as in the row of the store (JSON)',
    })
    .option('against', { type: 'string', describe: 'File of the version in force, to compare' })
    .option('store', {
      type: 'string',
      describe: 'IP:PORT of the store that holds the version in force, to compare',
    })
    .conflicts('against', 'store')
    .option('memory-mb', { type: 'number', describe: 'Memory of the smallest serving process' })
    .option('retry-ratio', { type: 'number', describe: 'Retries per request in the retry budget' })
    .option('retry-slack', { type: 'number', describe: 'Additional retries per window' })
    .option('processes', {
      type: 'number',
      describe: 'Serving processes that share the retry budget; default: 1',
    });
}

/**
 * Adds the command.
 * @param program - parser with the common options
 * @param format - form in which the operator writes configurations
 * @param onCommand - called with the handler if the command is selected
 * @returns the parser
 */
export function addCheckCommand(
  program: Argv,
  format: ConfigurationFormat,
  onCommand: (handler: LocalHandler) => void,
): Argv {
  return program.command(
    'check-configuration <file>',
    'Check a configuration of the serving processes',
    addArguments,
    (args) =>
      onCommand(async (json) => {
        const invalid = findInvalidArgument(args);
        if (invalid !== undefined) return usageError(invalid);
        const { file, against, store } = args;
        const deployment = deploymentOf(args);
        const options = { file, against, store, deployment, json, timeoutMs: STORE_TIMEOUT_MS };
        return runConfigurationCheck(format, options);
      }),
  );
}
