/** Subcommand `measure` of `citronstage-load`. */
import type { Argv } from 'yargs';
import { withLines } from './Statistics.js';
import { MEASUREMENTS } from './Measurements.js';
import type { Result } from './Types.js';

const EXIT_BAD_ARGUMENTS = 2;
const SIGNIFICANT_DIGITS = 4;

/**
 * Adds the subcommand to the command line.
 * @param parser - command line of `citronstage-load`
 * @param finish - called with the exit code if it is not 0
 */
export function addMeasure(parser: Argv, finish: (code: number) => void): void {
  parser.command(
    'measure [name]',
    'measures what each role costs',
    (command) =>
      command
        .positional('name', { type: 'string', describe: 'measurement, see --list' })
        .option('list', { type: 'boolean', default: false, describe: 'lists all measurements' })
        .option('json', { type: 'boolean', default: false, describe: 'prints JSON only' }),
    async ({ name, list, json }) => {
      if (list) {
        Object.entries(MEASUREMENTS).forEach(([key, { description }]) =>
          print(`${key}: ${description}`),
        );
        return;
      }
      const measurement = name === undefined ? undefined : MEASUREMENTS[name];
      if (!measurement) {
        const names = Object.keys(MEASUREMENTS).join(', ');
        process.stderr.write(`expected a measurement: ${names}\n`);
        finish(EXIT_BAD_ARGUMENTS);
        return;
      }
      const series = await measurement.run((line) => process.stderr.write(`${line}\n`));
      const results = series.map(withLines);
      if (json) print(JSON.stringify({ name, results }));
      else results.flatMap(render).forEach(print);
    },
  );
}

function render({ name, unit, points, lines }: Result): string[] {
  const rows = points.map(({ x, values }) => {
    const cells = Object.entries(values).map(([key, value]) => `${key} ${formatNumber(value)}`);
    return `  ${formatNumber(x)} ${unit}: ${cells.join(', ')}`;
  });
  const slopes = Object.entries(lines).map(
    ([key, { base, slope }]) =>
      `  ${key} = ${formatNumber(base)} + ${formatNumber(slope)} x ${unit}`,
  );
  return [name, ...rows, ...slopes];
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
