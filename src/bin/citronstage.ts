/** Command line for operators. */
import { readFileSync } from 'node:fs';
import { runCli } from '../cli/Cli.js';

// Read once at start. Importing the file as a module would move the root of the compiled tree.
// eslint-disable-next-line n/no-sync
const packageText = readFileSync(new URL('../../../package.json', import.meta.url), 'utf8');
const { version } = JSON.parse(packageText) as { version: string };

process.exitCode = await runCli(process.argv.slice(2), version, {
  out: (line) => process.stdout.write(`${line}\n`),
  err: (line) => process.stderr.write(`${line}\n`),
  environment: process.env,
});
