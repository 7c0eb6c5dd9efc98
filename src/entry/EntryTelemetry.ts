import type { Counter, Histogram } from '@opentelemetry/api';
import { LRUCache } from 'lru-cache';
import type { Decision, Explanation } from '../common/protocol/Control.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { Tracing } from '../telemetry/Tracing.js';
import { RequestTelemetry } from './RequestTelemetry.js';

/** Number of ended requests whose explanations are retained. */
const MAX_EXPLANATIONS = 10_000;

/** Bucket bounds of latency histograms, in ms; the design assumes deadlines of up to 6 s. */
const LATENCY_BUCKETS_MS = [
  5, 10, 20, 50, 100, 200, 300, 500, 700, 900, 1200, 2000, 3000, 6000, 12_000,
];

/** Metric instruments of requests. */
export interface EntryInstruments {
  readonly requests: Counter;
  readonly firstChunkMs: Histogram;
  readonly requestMs: Histogram;
  /** Counts decisions that are monitored as rates: retries, hedges, re-sends, ejections. */
  readonly decisions: Counter;
}

/** Records explanations, trace spans and metrics of all requests of an entry. */
export class EntryTelemetry {
  /** Explanations of ended requests as JSON arrays, which take half the memory of objects. */
  private readonly endedExplanations = new LRUCache<string, string>({ max: MAX_EXPLANATIONS });

  private readonly runningExplanations = new Map<string, Explanation>();

  private readonly instruments: EntryInstruments;

  constructor(
    private readonly clock: Clock,
    private readonly tracing: Tracing,
    { meter }: Metrics,
    private readonly logger: Logger,
  ) {
    const advice = { explicitBucketBoundaries: LATENCY_BUCKETS_MS };
    this.instruments = {
      requests: meter.createCounter('entry_requests', {
        description: 'Ended requests by template and outcome',
      }),
      firstChunkMs: meter.createHistogram('entry_first_token_ms', {
        description: 'Time from arrival to the first chunk of streamed answers',
        unit: 'ms',
        advice,
      }),
      requestMs: meter.createHistogram('entry_request_ms', {
        description: 'Time from arrival to the end of the answer',
        unit: 'ms',
        advice,
      }),
      decisions: meter.createCounter('entry_decisions', {
        description: 'Retries, hedges, re-sends and ejections',
      }),
    };
  }

  /**
   * Starts the telemetry of an admitted request.
   * @param request - ids of the request, the caller's W3C `traceparent`, and the monotonic arrival
   *   time in ms
   * @returns recorder for the request
   */
  begin(request: {
    requestId: string;
    account: string;
    template: string;
    traceparent: string | undefined;
    arrivedAt: number;
  }): RequestTelemetry {
    const { requestId, account, template } = request;
    const explanation: Explanation = { requestId, account, template, decisions: [] };
    this.runningExplanations.set(requestId, explanation);
    const { clock, tracing, instruments, logger } = this;
    const onEnd = () => {
      this.runningExplanations.delete(requestId);
      this.endedExplanations.set(requestId, pack(explanation));
    };
    const services = { clock, tracing, instruments, logger, onEnd };
    return new RequestTelemetry(services, request, explanation.decisions as Decision[]);
  }

  /** Counts a request that was refused before any stage was dispatched. */
  countRefusal(kind: string): void {
    this.instruments.requests.add(1, { outcome: kind });
  }

  /** @returns decisions about a request, or null if this entry has none. */
  explain(requestId: string): Explanation | null {
    const running = this.runningExplanations.get(requestId);
    if (running) return running;
    const text = this.endedExplanations.get(requestId);
    return text === undefined ? null : unpack(text);
  }
}

/** An explanation without field names. */
type PackedExplanation = [
  requestId: string,
  account: string,
  template: string,
  decisions: [Decision['atMs'], Decision['stage'], Decision['action'], Decision['reason']][],
];

function pack({ requestId, account, template, decisions }: Explanation): string {
  const rows = decisions.map(({ atMs, stage, action, reason }) => [atMs, stage, action, reason]);
  return JSON.stringify([requestId, account, template, rows]);
}

function unpack(text: string): Explanation {
  const [requestId, account, template, rows] = JSON.parse(text) as PackedExplanation;
  const decisions = rows.map(([atMs, stage, action, reason]) => ({ atMs, stage, action, reason }));
  return { requestId, account, template, decisions };
}
