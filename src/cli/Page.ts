/**
 * HTML pages with plots. Vega renders the plots as inline SVG, so that a page works offline and
 * without scripts.
 */
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { Cell } from './Table.js';

const STYLE = `body{font:14px sans-serif;max-width:72em;margin:2em auto;padding:0 1em}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}
td.n{text-align:right;font-variant-numeric:tabular-nums}
figure{margin:2em 0}figcaption{color:#555}`;

/** One plot. */
export interface Plot {
  readonly caption: string;
  readonly spec: TopLevelSpec;
}

/** Content of a page. */
export interface Page {
  readonly title: string;
  /** Paragraphs above the plots. */
  readonly notes: readonly string[];
  readonly plots: readonly Plot[];
  readonly header: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/**
 * Renders a page.
 * @param page - content of the page
 * @returns HTML document
 */
export async function renderPage({ title, notes, plots, header, rows }: Page): Promise<string> {
  const figures = await Promise.all(plots.map(renderPlot));
  const headCells = header.map((text) => `<th>${escapeHtml(text)}</th>`).join('');
  const bodyRows = rows.map((row) => `<tr>${row.map(renderCell).join('')}</tr>`).join('\n');
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>${STYLE}</style></head><body>
<h1>${escapeHtml(title)}</h1>
${notes.map((note) => `<p>${escapeHtml(note)}</p>`).join('\n')}
${figures.join('\n')}
<table><thead><tr>${headCells}</tr></thead><tbody>
${bodyRows}
</tbody></table></body></html>`;
}

async function renderPlot({ caption, spec }: Plot): Promise<string> {
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return `<figure>${svg}<figcaption>${escapeHtml(caption)}</figcaption></figure>`;
}

function renderCell(cell: Cell): string {
  if (typeof cell === 'number') {
    return `<td class="n">${cell.toLocaleString('en', { maximumFractionDigits: 2 })}</td>`;
  }
  return `<td>${escapeHtml(cell)}</td>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
