#!/usr/bin/env node
/* eslint n/hashbang: "off" -- package.json names the compiled file in target */
/** Runs stand-ins for platform services and backend servers, for development and tests. */
import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { formatProblem, EXIT_INVALID_SETTINGS, readSettings } from '../settings/SettingsFile.js';
import { StandinHost } from '../standin/StandinHost.js';
import { StandinSettings } from '../standin/StandinSettings.js';
import { createLogger } from '../telemetry/Logger.js';

const EXIT_FAILURE = 1;

const packageUrl = new URL('../../../package.json', import.meta.url);
// Read once, before any service is started.
// eslint-disable-next-line n/no-sync
const { version } = JSON.parse(readFileSync(packageUrl, 'utf8')) as { version: string };

const options = await yargs(hideBin(process.argv))
  .scriptName('citronstage-standin')
  .usage('$0 --config FILE\n\nRuns stand-ins of platform services and backend servers.')
  .option('config', {
    type: 'string',
    demandOption: true,
    requiresArg: true,
    describe: 'Settings file, JSON with comments',
  })
  .option('check', { type: 'boolean', default: false, describe: 'Check the settings and exit' })
  .version(version)
  .help()
  .strict()
  .fail((message, error) => {
    process.stderr.write(`${message || error.message}\nTry --help.\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  })
  .parseAsync();

const settings = readSettings(options.config, StandinSettings);
if (!settings.ok) {
  settings.problems.forEach((problem) => process.stderr.write(`${formatProblem(problem)}\n`));
  process.exit(EXIT_INVALID_SETTINGS);
}
if (options.check) process.exit(0);

const logger = createLogger('citronstage-standin', settings.value.log.level);
const host = new StandinHost();

async function stop(): Promise<void> {
  await host.close();
  process.exit(0);
}

process.once('SIGTERM', () => stop().catch(() => process.exit(EXIT_FAILURE)));
process.once('SIGINT', () => stop().catch(() => process.exit(EXIT_FAILURE)));

try {
  const services = await host.start(settings.value.services);
  process.stdout.write(`${JSON.stringify({ ready: true, services })}\n`);
} catch (error) {
  logger.error('starting the stand-in services failed', { error });
  process.exit(EXIT_FAILURE);
}
