/** Tables as aligned text and as CSV. */

/** Cell of a table; numbers are aligned to the right. */
export type Cell = string | number;

const COLUMN_GAP = '  ';

/**
 * @param header - column titles
 * @param rows - cells in the order of the titles
 * @returns lines with columns of equal width
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
 * @param header - column titles
 * @param rows - cells in the order of the titles
 * @returns lines of CSV as in RFC 4180
 */
export function formatCsv(header: readonly string[], rows: readonly (readonly Cell[])[]): string[] {
  return [header, ...rows].map((row) => row.map((cell) => quote(String(cell))).join(','));
}

function quote(text: string): string {
  return /[",\r\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}
