/** Renders the spans of one trace as an indented tree. */
import type { SpanRecord } from '../../telemetry/Tracing.js';

/**
 * Parses a span file.
 * @param text - content of the file, one JSON object per line
 * @returns spans sorted by start time
 */
export function parseSpans(text: string): SpanRecord[] {
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as SpanRecord)
    .sort((left, right) => left.startMs - right.startMs);
}

/**
 * Renders one trace.
 * @param spans - spans of any traces
 * @param traceId - trace to render
 * @returns one line per span, children indented below their parent; a span with an unknown parent is a
 *   root
 */
export function renderTrace(spans: readonly SpanRecord[], traceId: string): string[] {
  const trace = spans.filter((span) => span.traceId === traceId);
  const spanIds = new Set(trace.map((span) => span.spanId));
  const roots = trace.filter((span) => !span.parentSpanId || !spanIds.has(span.parentSpanId));
  return roots.flatMap((root) => renderSpan(trace, root, 0));
}

function renderSpan(trace: readonly SpanRecord[], span: SpanRecord, depth: number): string[] {
  const stage = span.attributes.stage;
  const label = typeof stage === 'string' ? `${span.name} ${stage}` : span.name;
  const indented = `${'  '.repeat(depth)}${label}`;
  const line = `${indented.padEnd(32)} ${span.durationMs.toFixed(1).padStart(9)} ms  ${span.process}`;
  const children = trace.filter((child) => child.parentSpanId === span.spanId);
  return [line, ...children.flatMap((child) => renderSpan(trace, child, depth + 1))];
}
