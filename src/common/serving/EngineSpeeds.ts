import { z } from 'zod';
import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** First events that a process saw within one window, for its peers. */
export const EngineSpeedReport = z.object({
  /** Number of the window; it may be reported several times. */
  window: z.number(),
  /** Sums over the window by engine id: observed and expected time to the first event, in ms. */
  engines: z.record(z.string(), z.tuple([z.number().min(0), z.number().min(0)])),
});
export type EngineSpeedReport = z.infer<typeof EngineSpeedReport>;

/** Observed and expected time, in ms. */
type Sample = readonly [number, number];

/** Decayed sums of samples. */
interface Sums {
  readonly observed: number;
  readonly expected: number;
  /** Time of the last update, on the clock, in ms. */
  readonly at: number;
}

/** Prefill rate of an engine that is not known yet, in prompt tokens per ms. */
export const USUAL_PREFILL_TOKENS_PER_MS = 110;

/**
 * Factor by which the measured rate has to differ from the usual one to be used: samples include
 * the time in queues, and a smaller difference may be due to that.
 */
const MIN_RATE_FACTOR = 1.5;
const MAX_RATE_FACTOR = 8;

/** Bounds of the slowness; between the inner ones, an engine counts as usual. */
const MIN_SLOWNESS = 0.5;
const USUAL_SLOWNESS = 1.3;
const MAX_SLOWNESS = 4;

/** Time to the first event that does not depend on the prompt, in ms. */
const FIXED_FIRST_EVENT_MS = 40;

/** Shorter prefills say little about the rate, in tokens. */
const MIN_RATE_TOKENS = 1000;

const RATE_HALF_LIFE_MS = 15_000;
const SLOWNESS_HALF_LIFE_MS = 5000;

/** Weight of the usual values in the averages, in ms of first events. */
const PRIOR_MS = 500;

const WINDOW_MS = 2000;

/** Time after the end of a window in which it is reported: one or two heartbeats, to save bytes. */
const REPORT_MS = 300;

/** Number of an empty report; peers must not take it for a window. */
const NO_WINDOW = -1;

const NOTHING: EngineSpeedReport = { window: NO_WINDOW, engines: {} };

/** Longest time of a sample, and largest sum of a peer, in ms; larger ones would weigh for minutes. */
const MAX_SAMPLE_MS = 60_000;
const MAX_WINDOW_SUM_MS = 1_000_000;

/** Maximum number of engines in a report, and of engines, services and peers that are remembered. */
const MAX_REPORTED = 100;
const MAX_REMEMBERED = 1000;

/**
 * Learns how fast the engines of a service prefill prompts, and which of them are slower or faster
 * than the others.
 *
 * Handles pools of engines with different speeds, or whose machines are shared with other work. A
 * process alone sees too few requests per engine, so the processes exchange what they have seen.
 */
export class EngineSpeeds {
  private readonly rates = new Map<string, Sums>();

  private readonly engines = new Map<string, Sums>();

  private readonly windowByPeer = new Map<string, number>();

  private currentWindow = NO_WINDOW;

  /** Sums of the current window, by engine id. */
  private readonly currentSums = new Map<string, [number, number]>();

  private complete = NOTHING;

  constructor(private readonly clock: Clock) {}

  /**
   * @param service - service of the engines
   * @returns prompt tokens that one of them prefills per ms
   */
  tokensPerMs(service: string): number {
    const rate = this.rates.get(service);
    if (!rate) return USUAL_PREFILL_TOKENS_PER_MS;
    const factor =
      (rate.observed + PRIOR_MS) / (rate.expected / USUAL_PREFILL_TOKENS_PER_MS + PRIOR_MS);
    const isUsual = factor < MIN_RATE_FACTOR && factor > 1 / MIN_RATE_FACTOR;
    const bounded = Math.min(MAX_RATE_FACTOR, Math.max(1 / MAX_RATE_FACTOR, factor));
    return isUsual ? USUAL_PREFILL_TOKENS_PER_MS : USUAL_PREFILL_TOKENS_PER_MS / bounded;
  }

  /**
   * @param engineId - id of an engine
   * @returns time that it takes relative to the usual time of its service; 1 if it is not notable
   */
  slowness(engineId: string): number {
    const sums = this.engines.get(engineId);
    if (!sums) return 1;
    const { observed, expected } = decayed(sums, this.clock.now(), SLOWNESS_HALF_LIFE_MS);
    const slowness = (observed + PRIOR_MS) / (expected + PRIOR_MS);
    if (slowness < USUAL_SLOWNESS && slowness > 1 / USUAL_SLOWNESS) return 1;
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
  }

  /**
   * Records the first event of a request.
   * @param engine - engine that runs the request
   * @param tokens - tokens that it had to prefill up to the event, with those queued ahead
   * @param observedMs - time from the send to the event, in ms
   */
  recordFirstEvent(engine: BackendServer, tokens: number, observedMs: number): void {
    const { service, id } = engine;
    if (tokens >= MIN_RATE_TOKENS) {
      const prefillMs = Math.max(0, observedMs - FIXED_FIRST_EVENT_MS);
      this.add(this.rates, service, [prefillMs, tokens], RATE_HALF_LIFE_MS);
    }
    const expectedMs = FIXED_FIRST_EVENT_MS + tokens / this.tokensPerMs(service);
    const sample: Sample = [
      Math.min(MAX_SAMPLE_MS, observedMs),
      Math.min(MAX_SAMPLE_MS, expectedMs),
    ];
    this.add(this.engines, id, sample, SLOWNESS_HALF_LIFE_MS);
    this.rollWindow();
    const sums = this.currentSums.get(id);
    if (!sums && this.currentSums.size >= MAX_REPORTED) return;
    const [observed, expected] = sums ?? [0, 0];
    this.currentSums.set(id, [Math.round(observed + sample[0]), Math.round(expected + sample[1])]);
  }

  /** What this process saw in the window that has just ended, for its peers; otherwise nothing. */
  get report(): EngineSpeedReport {
    this.rollWindow();
    return this.clock.now() % WINDOW_MS < REPORT_MS ? this.complete : NOTHING;
  }

  /**
   * Adds what a peer saw.
   * @param peerId - id of the peer
   * @param report - its last complete window
   */
  merge(peerId: string, { window, engines }: EngineSpeedReport): void {
    if (Object.keys(engines).length === 0 || this.windowByPeer.get(peerId) === window) return;
    this.windowByPeer.delete(peerId);
    this.windowByPeer.set(peerId, window);
    removeOldest(this.windowByPeer);
    Object.entries(engines).forEach(([id, [observed, expected]]) => {
      const sums: Sample = [
        Math.min(MAX_WINDOW_SUM_MS, observed),
        Math.min(MAX_WINDOW_SUM_MS, expected),
      ];
      this.add(this.engines, id, sums, SLOWNESS_HALF_LIFE_MS);
    });
  }

  /** Discards what is known about an engine that was removed or has restarted. */
  forget(engineId: string): void {
    this.engines.delete(engineId);
  }

  private add(
    target: Map<string, Sums>,
    key: string,
    [observed, expected]: Sample,
    halfLifeMs: number,
  ): void {
    const now = this.clock.now();
    const sums = decayed(target.get(key) ?? { observed: 0, expected: 0, at: now }, now, halfLifeMs);
    target.delete(key);
    target.set(key, {
      observed: sums.observed + observed,
      expected: sums.expected + expected,
      at: now,
    });
    removeOldest(target);
  }

  private rollWindow(): void {
    const window = Math.floor(this.clock.now() / WINDOW_MS);
    if (window === this.currentWindow) return;
    this.complete = { window: this.currentWindow, engines: Object.fromEntries(this.currentSums) };
    this.currentWindow = window;
    this.currentSums.clear();
  }
}

function decayed({ observed, expected, at }: Sums, now: number, halfLifeMs: number): Sums {
  const share = 0.5 ** ((now - at) / halfLifeMs);
  return { observed: observed * share, expected: expected * share, at: now };
}

function removeOldest(map: Map<string, unknown>): void {
  if (map.size > MAX_REMEMBERED) map.delete(map.keys().next().value!);
}
