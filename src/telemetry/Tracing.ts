/** OpenTelemetry traces with one span per hop. */
import { appendFile } from 'node:fs/promises';
import { context, type Context, type Tracer } from '@opentelemetry/api';
import {
  ExportResultCode,
  W3CTraceContextPropagator,
  type ExportResult,
} from '@opentelemetry/core';
import { resourceFromAttributes } from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import type { TracingSettings } from '../settings/CommonSettings.js';

const FLUSH_DELAY_MS = 500;
const NANOSECONDS_PER_MS = 1e6;
const MS_PER_SECOND = 1000;

/** Tracing of one process. */
export interface Tracing {
  readonly tracer: Tracer;
  /** @returns W3C `traceparent` of the context, or undefined if it has no span. */
  traceparentOf(spanContext: Context): string | undefined;
  /** @returns context whose parent is the given W3C `traceparent`. */
  contextOf(traceparent: string | undefined): Context;
  /** Exports finished spans and stops tracing. */
  shutdown(): Promise<void>;
}

/** Span as written to a trace file, one JSON object per line. */
export interface SpanRecord {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string | null;
  readonly name: string;
  readonly process: string;
  readonly startMs: number;
  readonly durationMs: number;
  readonly attributes: Record<string, unknown>;
}

/**
 * Creates the tracing of this process.
 * @param processName - value of the resource attribute `service.instance.id`
 * @param settings - exporters and sampling
 * @returns tracing of this process
 */
export function createTracing(processName: string, settings: TracingSettings): Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'citronstage',
      'service.instance.id': processName,
    }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(settings.sampleRatio) }),
    spanProcessors: createExporters(processName, settings).map(
      (exporter) => new BatchSpanProcessor(exporter, { scheduledDelayMillis: FLUSH_DELAY_MS }),
    ),
  });
  const propagator = new W3CTraceContextPropagator();
  return {
    tracer: provider.getTracer('citronstage'),
    traceparentOf: (spanContext) => {
      const carrier: Record<string, string> = {};
      propagator.inject(spanContext, carrier, {
        set: (target: Record<string, string>, key, value) =>
          Object.assign(target, { [key]: value }),
      });
      return carrier.traceparent;
    },
    contextOf: (traceparent) =>
      propagator.extract(
        context.active(),
        { traceparent },
        { get: () => traceparent, keys: () => ['traceparent'] },
      ),
    shutdown: () => provider.shutdown(),
  };
}

function createExporters(processName: string, settings: TracingSettings): SpanExporter[] {
  const exporters: SpanExporter[] = [];
  if (settings.otlpUrl) exporters.push(createOtlpExporter(settings.otlpUrl));
  if (settings.file) exporters.push(createFileExporter(processName, settings.file));
  return exporters;
}

/** Loads the exporter module with the first spans, since the module takes 4 MB of memory. */
function createOtlpExporter(url: string): SpanExporter {
  let loading: Promise<SpanExporter> | undefined;
  const load = () => {
    loading ??= import('@opentelemetry/exporter-trace-otlp-http').then(
      ({ OTLPTraceExporter }) => new OTLPTraceExporter({ url }),
    );
    return loading;
  };
  return {
    export: (spans: ReadableSpan[], done: (result: ExportResult) => void) => {
      load().then(
        (exporter) => exporter.export(spans, done),
        (error: Error) => done({ code: ExportResultCode.FAILED, error }),
      );
    },
    shutdown: async () => (await loading)?.shutdown(),
  };
}

function createFileExporter(processName: string, file: string): SpanExporter {
  return {
    export: (spans: ReadableSpan[], done: (result: ExportResult) => void) => {
      const lines = spans
        .map((span) => `${JSON.stringify(toSpanRecord(processName, span))}\n`)
        .join('');
      appendFile(file, lines).then(
        () => done({ code: ExportResultCode.SUCCESS }),
        (error: Error) => done({ code: ExportResultCode.FAILED, error }),
      );
    },
    shutdown: () => Promise.resolve(),
  };
}

function toSpanRecord(processName: string, span: ReadableSpan): SpanRecord {
  const spanContext = span.spanContext();
  return {
    traceId: spanContext.traceId,
    spanId: spanContext.spanId,
    parentSpanId: span.parentSpanContext?.spanId ?? null,
    name: span.name,
    process: processName,
    startMs: toMilliseconds(span.startTime),
    durationMs: toMilliseconds(span.duration),
    attributes: { ...span.attributes },
  };
}

function toMilliseconds([seconds, nanoseconds]: readonly [number, number]): number {
  return seconds * MS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MS;
}
