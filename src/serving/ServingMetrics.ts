import type { Counter, Histogram } from '@opentelemetry/api';
import type { Metrics } from '../telemetry/Metrics.js';

/** Reasons of refusals that are counted. */
export type RefusalReason =
  | 'crashing-prompt'
  | 'crashing-request'
  | 'limited-servers'
  | 'overloaded-stages'
  | 'evacuated'
  | 'unknown-version'
  | 'departed-version';

/** What happens to a hedge: each one that is sent is either won or wasted in the end. */
export type HedgeEvent = 'sent' | 'won' | 'wasted';

/** Counters and histograms of a serving process. */
export class ServingMetrics {
  private readonly requests: Counter;

  private readonly durations: Histogram;

  private readonly outcomes: Counter;

  private readonly stages: Histogram;

  private readonly refusals: Counter;

  private readonly hedges: Counter;

  constructor({ meter }: Metrics) {
    this.requests = meter.createCounter('requests', { description: 'Requests by final status' });
    this.durations = meter.createHistogram('request_duration', {
      unit: 'ms',
      description: 'Time from a request to its final answer',
    });
    this.outcomes = meter.createCounter('forwards', { description: 'Forwards by outcome' });
    this.refusals = meter.createCounter('refusals', {
      description: 'Requests refused as not run, by reason',
    });
    this.hedges = meter.createCounter('hedges', {
      description: 'Second sends of slow requests, by service and event',
    });
    this.stages = meter.createHistogram('stage_duration', {
      unit: 'ms',
      description: 'Time from asking for a stage to its results',
    });
  }

  /**
   * @param route - name of the route
   * @param status - final status
   * @param durationMs - time from the receipt of the request to its end, in ms
   */
  recordRequest(route: string, status: number, durationMs: number): void {
    this.requests.add(1, { route, status });
    this.durations.record(durationMs, { route });
  }

  /**
   * @param service - service of the backend server
   * @param outcome - kind of the outcome of one attempt
   */
  recordForward(service: string, outcome: string): void {
    this.outcomes.add(1, { service, outcome });
  }

  /** @param reason - why requests are refused before a server runs them */
  recordRefusal(reason: RefusalReason): void {
    this.refusals.add(1, { reason });
  }

  /**
   * @param service - service of the backend server
   * @param event - what happened to a hedge
   */
  recordHedge(service: string, event: HedgeEvent): void {
    this.hedges.add(1, { service, event });
  }

  /**
   * @param service - stage service
   * @param outcome - kind of the outcome
   * @param durationMs - time from the start of the stage to its results, queueing included, in ms
   */
  recordStage(service: string, outcome: string, durationMs: number): void {
    this.stages.record(durationMs, { service, outcome });
  }
}
