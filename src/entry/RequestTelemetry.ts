import { trace, type Context, type Span } from '@opentelemetry/api';
import type { Decision } from '../common/protocol/Control.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Tracing } from '../telemetry/Tracing.js';
import type { EntryInstruments } from './EntryTelemetry.js';
import type { AttemptTrace, RequestEnd } from './Types.js';

/** Actions that the metric of decisions counts. */
const COUNTED_ACTIONS = new Set(['retry', 'hedge', 'resend', 'restart', 'eject', 'settle']);

/** Services and instruments shared by the telemetry of all requests. */
export interface TelemetryServices {
  readonly clock: Clock;
  readonly tracing: Tracing;
  readonly instruments: EntryInstruments;
  readonly logger: Logger;
  /** Called when the request has ended and everything is recorded. */
  readonly onEnd: () => void;
}

/** Records the explanation, trace spans and metrics of one request. */
export class RequestTelemetry {
  private readonly span: Span;

  private readonly context: Context;

  private firstChunkAt: number | null = null;

  constructor(
    private readonly services: TelemetryServices,
    private readonly request: {
      readonly requestId: string;
      readonly account: string;
      readonly template: string;
      readonly traceparent: string | undefined;
      readonly arrivedAt: number;
    },
    private readonly decisions: Decision[],
  ) {
    const { requestId, account, template, traceparent } = request;
    const parent = services.tracing.contextOf(traceparent);
    const attributes = { requestId, account, template };
    this.span = services.tracing.tracer.startSpan('entry', { attributes }, parent);
    this.context = trace.setSpan(parent, this.span);
  }

  /** Adds a decision to the explanation; counts it and logs ejections. */
  recordDecision(stage: string | null, action: string, reason: string): void {
    const atMs = Math.round(this.services.clock.now() - this.request.arrivedAt);
    this.decisions.push({ atMs, stage, action, reason });
    if (COUNTED_ACTIONS.has(action)) this.services.instruments.decisions.add(1, { action });
    if (action === 'eject') {
      const { requestId, account } = this.request;
      this.services.logger.warn('backend server ejected', { reason, requestId, account });
    }
  }

  /** Records that a generated chunk was relayed to the caller. */
  recordChunk(): void {
    this.firstChunkAt ??= this.services.clock.now();
  }

  /**
   * Starts the span `route` of an attempt, which is the parent of the agent's spans. Its child span
   * `relay` lasts from the first chunk to the end of the attempt.
   */
  traceAttempt(stage: string, agentId: string): AttemptTrace {
    const { tracer } = this.services.tracing;
    const { requestId } = this.request;
    const attributes = { requestId, stage, agentId };
    const span = tracer.startSpan('route', { attributes }, this.context);
    const routeContext = trace.setSpan(this.context, span);
    let relay: Span | null = null;
    return {
      traceparent: this.services.tracing.traceparentOf(routeContext),
      recordFirstChunk: () => {
        relay ??= tracer.startSpan('relay', { attributes }, routeContext);
      },
      end: (outcome) => {
        relay?.end();
        span.setAttribute('outcome', outcome);
        span.end();
      },
    };
  }

  /** Records the end of the request in metrics, log, explanation and trace. */
  finish(end: RequestEnd): void {
    const { requestId, account, arrivedAt, template } = this.request;
    const { requests, firstChunkMs, requestMs } = this.services.instruments;
    const elapsedMs = this.services.clock.now() - arrivedAt;
    const outcome = end.ok ? 'result' : end.failure.outcome;
    const kind = end.ok ? 'result' : end.failure.kind;
    const labels = { template, outcome: kind };
    requests.add(1, labels);
    requestMs.record(elapsedMs, labels);
    if (this.firstChunkAt !== null)
      firstChunkMs.record(this.firstChunkAt - arrivedAt, { template });
    const fields = { requestId, account, template, kind, outcome, ms: Math.round(elapsedMs) };
    if (end.ok) this.services.logger.debug('request finished', fields);
    else this.services.logger.info('request failed', { ...fields, reason: end.failure.message });
    this.recordDecision(
      null,
      'finish',
      end.ok ? 'result' : `${kind}, ${outcome}: ${end.failure.message}`,
    );
    this.span.setAttributes({ outcome, kind });
    this.span.end();
    this.services.onEnd();
  }
}
