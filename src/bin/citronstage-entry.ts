/** Runs an entry instance, which serves callers and operators. */
// Imported first, to keep V8's young generation small while the other modules are loaded.
// eslint-disable-next-line import-x/order
import { allowYoungGenerationGrowth } from '../settings/YoungGeneration.js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createEntry } from '../entry/createEntry.js';
import { EntrySettings } from '../entry/EntrySettings.js';
import { formatProblem, EXIT_INVALID_SETTINGS, readSettings } from '../settings/SettingsFile.js';
import { createLogger } from '../telemetry/Logger.js';

const EXIT_FAILURE = 1;

async function main(): Promise<void> {
  const parser = yargs(hideBin(process.argv))
    .scriptName('citronstage-entry')
    .usage('$0 --config FILE\n\nServes callers and operators until SIGTERM.')
    .option('config', {
      type: 'string',
      describe: 'Settings file (JSON with comments)',
      demandOption: true,
    })
    .option('check', {
      type: 'boolean',
      default: false,
      describe: 'Check the settings, then exit',
    })
    .strict()
    .fail((message, error, usage) => {
      process.stderr.write(`${message || error.message}\n\n${usage.help()}\n`);
      process.exit(EXIT_INVALID_SETTINGS);
    });
  const { config, check } = await parser.parseAsync();
  const settings = readSettings(config, EntrySettings);
  if (!settings.ok) {
    settings.problems.forEach((problem) => process.stderr.write(`${formatProblem(problem)}\n`));
    process.exit(EXIT_INVALID_SETTINGS);
  }
  if (check) return;
  await serve(settings.value);
}

async function serve(settings: EntrySettings): Promise<void> {
  const logger = createLogger(settings.id, settings.log.level);
  const entry = createEntry(settings, logger);
  const address = await entry.start();
  allowYoungGenerationGrowth();
  process.stdout.write(`${JSON.stringify({ ready: true, id: settings.id, address })}\n`);
  let stopping = false;
  const stop = () => {
    if (stopping) return;
    stopping = true;
    logger.info('shutting down');
    entry.stop().then(
      (finished) => process.exit(finished ? 0 : EXIT_FAILURE),
      (error: unknown) => fail(error),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

function fail(error: unknown): void {
  const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
  process.stderr.write(`${reason}\n`);
  process.exit(EXIT_FAILURE);
}

main().catch(fail);
