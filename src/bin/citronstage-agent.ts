#!/usr/bin/env node
/* eslint n/hashbang: "off" -- package.json names the compiled file in target */
/** Runs the agent process beside a backend server. */
// Imported first, to keep V8's young generation small while the other modules are loaded.
// eslint-disable-next-line import-x/order
import { allowYoungGenerationGrowth } from '../settings/YoungGeneration.js';
import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { AgentProcess } from '../agent/AgentProcess.js';
import { AgentSettings } from '../agent/AgentSettings.js';
import { EXIT_INVALID_SETTINGS, formatProblem, readSettings } from '../settings/SettingsFile.js';

const EXIT_FAILURE = 1;

const { version } = JSON.parse(
  // eslint-disable-next-line n/no-sync
  readFileSync(new URL('../../../package.json', import.meta.url), 'utf8'),
) as { version: string };

// eslint-disable-next-line n/no-sync
const options = yargs(hideBin(process.argv))
  .scriptName('citronstage-agent')
  .usage('$0 --config FILE\n\nRuns the agent beside a backend server.')
  .option('config', { type: 'string', demandOption: true, describe: 'settings file (JSON)' })
  .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' })
  .strict()
  .version(version)
  .fail((message, error) => {
    process.stderr.write(`${message ?? error.message}\n`);
    process.exit(EXIT_INVALID_SETTINGS);
  })
  .parseSync();

const settings = readSettings(options.config, AgentSettings);
if (!settings.ok) {
  for (const problem of settings.problems) process.stderr.write(`${formatProblem(problem)}\n`);
  process.exit(EXIT_INVALID_SETTINGS);
}
if (!options.check) {
  const agent = new AgentProcess(settings.value);
  const stop = () => {
    agent.stop().then(
      () => process.exit(0),
      () => process.exit(EXIT_FAILURE),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  try {
    const ready = await agent.start();
    allowYoungGenerationGrowth();
    process.stdout.write(`${JSON.stringify({ ready: true, ...ready })}\n`);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
    process.exit(EXIT_FAILURE);
  }
}
