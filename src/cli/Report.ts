/** Reports as JSON, table, CSV or HTML page, to the terminal or to a file. */
import { writeFile } from 'node:fs/promises';
import { readSettings, describeProblem } from '../settings/SettingsFile.js';
import { DEFAULT_PRICES, Prices } from '../common/ledger/Prices.js';
import type { Page } from './Page.js';
import { formatCsv, formatTable, type Cell } from './Table.js';
import { usageError, type CliResult } from './Types.js';

/** Formats of a report. */
export const REPORT_FORMATS = ['table', 'csv', 'html', 'json'] as const;
export type ReportFormat = (typeof REPORT_FORMATS)[number];

/** Content of a report. */
export interface Report {
  readonly header: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
  /** Body of the JSON form. */
  readonly json: unknown;
  /** Content of the HTML page. */
  page(): Page;
}

/** How a report is put out. */
export interface ReportOptions {
  readonly format: ReportFormat;
  /** File to write; standard output if absent. */
  readonly output?: string;
}

const FORMATTERS: Readonly<Record<ReportFormat, (report: Report) => Promise<string[]>>> = {
  table: async ({ header, rows }) => formatTable(header, rows.map(roundCells)),
  csv: async ({ header, rows }) => formatCsv(header, rows),
  json: async ({ json }) => [JSON.stringify(json)],
  html: async (report) => {
    // Loaded only for pages: the plot library takes longer to load than other commands take to run.
    const { renderPage } = await import('./Page.js');
    return [await renderPage(report.page())];
  },
};

/**
 * @param report - content
 * @param options - format and file
 * @returns lines for standard output
 */
export async function putReport(
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
  return { ok: true, value: [`written to ${output}`] };
}

/**
 * @param file - price list (JSON with comments); accelerator seconds are counted if absent
 * @returns prices, or all problems of the file
 */
export function readPrices(file: string | undefined): CliResult<Prices> {
  if (file === undefined) return { ok: true, value: DEFAULT_PRICES };
  const prices = readSettings(file, Prices);
  return prices.ok ? prices : usageError(...prices.problems.map(describeProblem));
}

function roundCells(cells: readonly Cell[]): Cell[] {
  return cells.map((cell) => (typeof cell === 'number' ? Math.round(cell * 100) / 100 : cell));
}
