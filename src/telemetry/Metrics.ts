/** OpenTelemetry metrics, exported as Prometheus text. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Meter } from '@opentelemetry/api';
import { PrometheusExporter } from '@opentelemetry/exporter-prometheus';
import { resourceFromAttributes } from '@opentelemetry/resources';
import { MeterProvider } from '@opentelemetry/sdk-metrics';

/** Metrics of one process. */
export interface Metrics {
  readonly meter: Meter;
  /** Responds to `GET /metrics`. */
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Stops collecting. */
  shutdown(): Promise<void>;
}

/**
 * Creates the metrics of this process. The caller serves {@link Metrics.handle}; no port is opened.
 * @returns metrics of this process
 */
export function createMetrics(): Metrics {
  const exporter = new PrometheusExporter({ preventServerStart: true });
  const provider = new MeterProvider({
    resource: resourceFromAttributes({ 'service.name': 'citronstage' }),
    readers: [exporter],
  });
  return {
    meter: provider.getMeter('citronstage'),
    handle: (request, response) => exporter.getMetricsRequestHandler(request, response),
    shutdown: () => provider.shutdown(),
  };
}
