/** Formats tables as aligned text and as CSV. */

/** Cell of a table. Columns that contain only numbers are aligned to the right. */
export type Cell = string | number;

const COLUMN_GAP = '  ';

/**
 * Formats a table as text.
 * @param header - column titles
 * @param rows - cells in the order of the titles
 * @returns lines, with the cells of each column padded to the same width
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly Cell[])[],
): string[] {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => String(row[column] ?? '').length)),
  );
  const isNumeric = header.map(
    (_title, column) => rows.length > 0 && rows.every((row) => typeof row[column] === 'number'),
  );
  const align = (cells: readonly Cell[]): string =>
    cells
      .map((cell, column) => {
        const width = widths[column] ?? 0;
        return isNumeric[column] ? String(cell).padStart(width) : String(cell).padEnd(width);
      })
      .join(COLUMN_GAP)
      .trimEnd();
  return [align(header), ...rows.map(align)];
}

/**
 * Formats a table as CSV (RFC 4180).
 * @param header - column titles
 * @param rows - cells in the order of the titles
 * @returns one line of CSV for each row, the header first
 */
export function formatCsv(header: readonly string[], rows: readonly (readonly Cell[])[]): string[] {
  return [header, ...rows].map((row) => row.map((cell) => quoteCsv(String(cell))).join(','));
}

function quoteCsv(text: string): string {
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
