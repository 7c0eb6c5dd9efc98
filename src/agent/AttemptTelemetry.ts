import type { Counter, Histogram } from '@opentelemetry/api';
import type { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import type { AttemptRecord } from '../common/attempts/AttemptRecord.js';
import type { Clock } from '../common/time/Types.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { Tracing } from '../telemetry/Tracing.js';

/** Bucket bounds of time histograms, in ms; they cover the largest intended deadline, 6 s. */
const BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000];

/** Spans and metrics of attempts. */
export class AttemptTelemetry {
  private readonly attempts: Counter;

  private readonly queueMs: Histogram;

  private readonly serviceMs: Histogram;

  /**
   * @param tracing - tracer for the spans `queue`, `claim`, `backend`
   * @param metrics - meter of the process
   * @param clock - maps monotonic to wall-clock time
   */
  constructor(
    private readonly tracing: Tracing,
    private readonly metrics: Metrics,
    private readonly clock: Clock,
  ) {
    const { meter } = metrics;
    const advice = { explicitBucketBoundaries: BUCKETS_MS };
    this.attempts = meter.createCounter('agent_attempts', {
      description: 'Ended attempts by outcome and reason',
    });
    this.queueMs = meter.createHistogram('agent_queue_wait_ms', { unit: 'ms', advice });
    this.serviceMs = meter.createHistogram('agent_service_time_ms', { unit: 'ms', advice });
  }

  /**
   * Exports the load of an attempt state machine as gauges.
   * @param stateMachine - attempt state machine to observe
   */
  observeAttempts(stateMachine: AttemptStateMachine): void {
    const { meter } = this.metrics;
    meter
      .createObservableGauge('agent_running', { description: 'Attempts that claim or run' })
      .addCallback((result) => result.observe(stateMachine.load().running));
    meter
      .createObservableGauge('agent_waiting', { description: 'Attempts that wait' })
      .addCallback((result) => result.observe(stateMachine.load().waiting));
    meter
      .createObservableGauge('agent_draining', { description: '1 while draining' })
      .addCallback((result) => result.observe(stateMachine.load().draining ? 1 : 0));
  }

  /**
   * Records the metrics and spans of an attempt.
   * @param record - attempt that has reached a final state
   */
  recordAttempt(record: AttemptRecord): void {
    const { outcome } = record.output;
    if (!outcome) return;
    const reason = outcome.type === 'refused' ? outcome.reason : '';
    this.attempts.add(1, { outcome: outcome.type, reason });
    const { dequeuedAt, receivedAt, startedAt, endedAt } = record;
    if (dequeuedAt !== null) this.queueMs.record(dequeuedAt - receivedAt);
    if (startedAt !== null && endedAt !== null) this.serviceMs.record(endedAt - startedAt);
    this.recordSpans(record, outcome.type);
  }

  private recordSpans(record: AttemptRecord, outcome: string): void {
    const { attempt, receivedAt, dequeuedAt, claimEndedAt, startedAt } = record;
    if (attempt.traceparent === undefined) return;
    const endedAt = record.endedAt ?? this.clock.now();
    this.recordSpan(record, 'queue', receivedAt, dequeuedAt ?? endedAt, outcome);
    if (!attempt.idempotent && dequeuedAt !== null) {
      this.recordSpan(record, 'claim', dequeuedAt, claimEndedAt ?? endedAt, outcome);
    }
    if (startedAt !== null) this.recordSpan(record, 'backend', startedAt, endedAt, outcome);
  }

  /** Creates a span after the fact, with the monotonic times converted to wall-clock times. */
  private recordSpan(
    { attempt }: AttemptRecord,
    name: string,
    from: number,
    to: number,
    outcome: string,
  ): void {
    const offset = this.clock.wallTime() - this.clock.now();
    const { requestId, attemptId, account, stage } = attempt;
    const attributes = { requestId, attemptId, account, stage, outcome };
    const parent = this.tracing.contextOf(attempt.traceparent);
    const options = { startTime: new Date(offset + from), attributes };
    this.tracing.tracer.startSpan(name, options, parent).end(new Date(offset + to));
  }
}
