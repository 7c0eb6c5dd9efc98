/** Writes reports as table, CSV, HTML page or JSON to standard output or to a file. */
import { writeFile } from 'node:fs/promises';
import { readSettings, formatProblem } from '../settings/SettingsFile.js';
import { DEFAULT_PRICES, Prices } from '../common/ledger/Prices.js';
import type { Page } from './Page.js';
import { formatCsv, formatTable, type Cell } from './Table.js';
import { usageError, type CliResult } from './Types.js';

/** Supported report formats. */
export const REPORT_FORMATS = ['table', 'csv', 'html', 'json'] as const;
export type ReportFormat = (typeof REPORT_FORMATS)[number];

/** Content of a report. */
export interface Report {
  readonly header: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
  /** Value printed by the format `json`. */
  readonly json: unknown;
  /** @returns content of the HTML page; called only for the format `html` */
  page(): Page;
}

/** Format and destination of a report. */
export interface ReportOptions {
  readonly format: ReportFormat;
  /** File to write; default: standard output. */
  readonly output?: string;
}

const FORMATTERS: Readonly<Record<ReportFormat, (report: Report) => Promise<string[]>>> = {
  table: async ({ header, rows }) => formatTable(header, rows.map(roundCells)),
  csv: async ({ header, rows }) => formatCsv(header, rows),
  json: async ({ json }) => [JSON.stringify(json)],
  html: async (report) => {
    // Imported on demand: loading the plot library takes longer than running any other command.
    const { renderPage } = await import('./Page.js');
    return [await renderPage(report.page())];
  },
};

/**
 * Formats a report and writes it to the output file, if one is given.
 * @param report - content
 * @param options - format and output file
 * @returns lines for standard output
 */
export async function writeReport(
  report: Report,
  { format, output }: ReportOptions,
): Promise<CliResult<string[]>> {
  const lines = await FORMATTERS[format](report);
  if (output === undefined) return { ok: true, value: lines };
  try {
    await writeFile(output, `${lines.join('\n')}\n`);
  } catch (error) {
    return usageError(`${output}: ${error instanceof Error ? error.message : String(error)}`);
  }
  return { ok: true, value: [`report written to ${output}`] };
}

/**
 * Reads a price list.
 * @param file - JSON with comments; default: amounts are accelerator seconds
 * @returns prices, or all problems of the file
 */
export function readPrices(file: string | undefined): CliResult<Prices> {
  if (file === undefined) return { ok: true, value: DEFAULT_PRICES };
  const prices = readSettings(file, Prices);
  return prices.ok ? prices : usageError(...prices.problems.map(formatProblem));
}

function roundCells(cells: readonly Cell[]): Cell[] {
  return cells.map((cell) => (typeof cell === 'number' ? Math.round(cell * 100) / 100 : cell));
}
