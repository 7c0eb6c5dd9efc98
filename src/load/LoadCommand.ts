/** Command line of `citronstage-load`. */
import { readFileSync } from 'node:fs';
import yargs, { type Argv } from 'yargs';
import { EXIT_INVALID_SETTINGS, formatProblem, readSettings } from '../settings/SettingsFile.js';
import { BENCH_FAULTS } from './bench/BenchFaults.js';
import { renderReport, runBench } from './bench/BenchCommand.js';
import { runDemo } from './demo/Demo.js';
import { DEPLOYMENTS } from './deployment/Deployments.js';
import { addMeasure } from './measure/MeasureCommand.js';
import { NaiveServer } from './naive/NaiveServer.js';
import { NaiveSettings } from './naive/NaiveSettings.js';
import { PROOFS } from './prove/Proofs.js';
import { prove } from './prove/ProveCommand.js';

const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;
const DEFAULT_PROOF_SECONDS = 20;

/** Invalid arguments; the message names the expected ones. */
class ArgumentError extends Error {}

/**
 * Runs the command line.
 * @param args - arguments without the program name
 * @returns exit code: 0 success, 1 runtime failure, 2 invalid settings or arguments
 */
export async function runLoad(args: readonly string[]): Promise<number> {
  let exitCode = EXIT_SUCCESS;
  const finish = (code: number): void => {
    exitCode = code;
  };
  const parser = yargs(args)
    .scriptName('citronstage-load')
    .usage('$0 COMMAND: starts clusters of processes on this machine, then tests and measures them')
    .version(version())
    .strict()
    .demandCommand(1, 1, 'expected a command: demo, prove, bench, measure or naive')
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new ArgumentError(message);
    });
  COMMANDS.forEach((add) => add(parser, finish));
  try {
    await parser.parseAsync();
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    return error instanceof ArgumentError ? EXIT_INVALID_SETTINGS : EXIT_FAILURE;
  }
  return exitCode;
}

type CommandAdder = (parser: Argv, finish: (code: number) => void) => void;

function addProve(parser: Argv, finish: (code: number) => void): void {
  parser.command(
    'prove [promise]',
    'checks a promise against a cluster of real processes under faults',
    (command) =>
      command
        .positional('promise', { type: 'string', describe: 'promise to check; see --list' })
        .option('list', {
          type: 'boolean',
          default: false,
          describe: 'lists all promises and exits',
        })
        .option('seed', { type: 'number', default: 1, describe: 'seed of requests and faults' })
        .option('seconds', {
          type: 'number',
          default: DEFAULT_PROOF_SECONDS,
          describe: 'length of the fault phase, in seconds',
        })
        .option('baseline', {
          type: 'boolean',
          default: false,
          describe: 'checks the naive baseline',
        })
        .option('keep', {
          type: 'boolean',
          default: false,
          describe: 'keeps the folder with settings and logs',
        }),
    async (options) => {
      if (options.list) {
        Object.entries(PROOFS).forEach(([name, proof]) => print(`${name}: ${proof.description}`));
        return;
      }
      const { promise, seed, seconds } = options;
      requireNumbers({ seed }, Number.MIN_SAFE_INTEGER);
      requireNumbers({ seconds });
      if (promise === undefined || !(promise in PROOFS)) {
        throw new ArgumentError(`expected a promise: ${Object.keys(PROOFS).join(', ')}`);
      }
      if (options.baseline && PROOFS[promise]!.hasNoBaseline) {
        throw new ArgumentError(`--baseline: there is no baseline for "${promise}"`);
      }
      const variant = options.baseline ? 'naive' : 'current';
      const proofOptions = { promise, seed, seconds, variant, keepFolder: options.keep } as const;
      const { report, passed } = await prove(proofOptions, progress);
      print(JSON.stringify(report));
      finish(passed ? EXIT_SUCCESS : EXIT_FAILURE);
    },
  );
}

function addDemo(parser: Argv, finish: (code: number) => void): void {
  parser.command(
    'demo',
    'serves one plan and one deposit through a small cluster of processes',
    (command) => command,
    async () => {
      finish((await runDemo(print)) ? EXIT_SUCCESS : EXIT_FAILURE);
    },
  );
}

function addBench(parser: Argv): void {
  parser.command(
    'bench',
    'compares the naive and the current policy under the same load',
    (command) =>
      command
        .option('deployment', {
          choices: Object.keys(DEPLOYMENTS),
          default: 'ashdown',
          describe: 'deployment to start',
        })
        .option('fault', {
          choices: Object.keys(BENCH_FAULTS),
          default: 'none',
          describe: 'fault scenario',
        })
        .option('seed', { type: 'number', default: 1, describe: 'seed of the arrivals' })
        .option('seconds', {
          type: 'number',
          default: 30,
          describe: 'length of the load, in seconds',
        })
        .option('load', {
          type: 'number',
          default: 0.7,
          describe: 'offered load as a multiple of capacity',
        })
        .option('json', { type: 'boolean', default: false, describe: 'prints JSON only' }),
    async ({ deployment, fault, seed, seconds, load, json }) => {
      requireNumbers({ seed }, Number.MIN_SAFE_INTEGER);
      requireNumbers({ seconds, load });
      const report = await runBench({ deployment, fault, seed, seconds, load }, progress);
      if (!json) renderReport(report).forEach(print);
      print(JSON.stringify(report));
    },
  );
}

function addNaive(parser: Argv, finish: (code: number) => void): void {
  parser.command(
    'naive',
    'serves the caller interface with the naive policy',
    (command) =>
      command
        .option('config', { type: 'string', demandOption: true, describe: 'settings file' })
        .option('check', {
          type: 'boolean',
          default: false,
          describe: 'validates the settings and exits',
        }),
    async ({ config, check }) => {
      const settings = readSettings(config, NaiveSettings);
      if (!settings.ok) {
        settings.problems.forEach((problem) => progress(formatProblem(problem)));
        finish(EXIT_INVALID_SETTINGS);
        return;
      }
      if (!check) await new NaiveServer(settings.value).start();
    },
  );
}

const COMMANDS: readonly CommandAdder[] = [addDemo, addProve, addBench, addMeasure, addNaive];

/**
 * Checks that all numbers are finite and not below the minimum; by default they must be positive.
 * @throws ArgumentError otherwise
 */
function requireNumbers(numbers: Record<string, number>, minimum = Number.MIN_VALUE): void {
  Object.entries(numbers).forEach(([name, value]) => {
    if (!Number.isFinite(value) || value < minimum) {
      throw new ArgumentError(
        `--${name}: expected a ${minimum > 0 ? 'positive ' : ''}number, got ${value}`,
      );
    }
  });
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function progress(line: string): void {
  process.stderr.write(`${line}\n`);
}

function version(): string {
  // A synchronous read is harmless here: it happens once, before any command starts.
  // eslint-disable-next-line n/no-sync
  const text = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
}
