import { build, type Histogram } from 'hdr-histogram-js';
import { LRUCache } from 'lru-cache';
import type { Clock } from '../time/Types.js';

/** Maximum number of kinds of work with histograms; the least recently used go first. */
export const MAX_KINDS = 200;

/**
 * Length of a window, in ms. The samples of the current window count twice, those of the previous
 * one once, older ones not at all.
 */
export const LATENCY_WINDOW_MS = 30_000;

/** Minimum number of samples in both windows from which quantiles are computed. */
export const MIN_LATENCY_SAMPLES = 20;

/** Time for which computed quantiles are reused, in ms. */
const REUSE_MS = 1000;

/** Longest recorded latency, in ms; longer ones count as this. Limits the size of a histogram. */
const MAX_LATENCY_MS = 60_000;

const MEDIAN_PERCENTILE = 50;

/** Quantiles of the latencies of one kind of work, in ms. */
export interface Latencies {
  readonly medianMs: number;
  /** The high quantile that the constructor of {@link LatencyQuantiles} names. */
  readonly highMs: number;
}

interface Windows {
  current: Histogram;
  previous: Histogram;
  /** On the clock, in ms. */
  startedAt: number;
  latencies: Latencies | undefined;
  /** Time at which `latencies` was computed, on the clock, in ms. */
  computedAt: number;
}

/** Learns the latencies of each kind of work; old samples lose weight. */
export class LatencyQuantiles {
  private readonly windows = new LRUCache<string, Windows>({ max: MAX_KINDS });

  /** Sum of two windows while quantiles are computed. */
  private readonly sum = createHistogram();

  /**
   * @param clock - time source
   * @param quantile - high quantile, 0 to 1
   */
  constructor(
    private readonly clock: Clock,
    private readonly quantile: number,
  ) {}

  /** Number of kinds of work that have histograms. */
  get kinds(): number {
    return this.windows.size;
  }

  /**
   * Records a latency.
   * @param kind - kind of work
   * @param latencyMs - latency, in ms
   */
  record(kind: string, latencyMs: number): void {
    const windows = this.windows.get(kind) ?? this.create(kind);
    this.rotate(windows);
    windows.current.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
  }

  /** @returns quantiles of a kind of work; undefined if there are too few recent samples */
  of(kind: string): Latencies | undefined {
    const windows = this.windows.get(kind);
    if (!windows) return undefined;
    this.rotate(windows);
    const now = this.clock.now();
    // Too few samples are noticed at once: only sums over the histograms are worth reusing.
    if (!windows.latencies || now - windows.computedAt >= REUSE_MS) {
      windows.latencies = this.compute(windows);
      windows.computedAt = now;
    }
    return windows.latencies;
  }

  private compute({ current, previous }: Windows): Latencies | undefined {
    if (current.totalCount + previous.totalCount < MIN_LATENCY_SAMPLES) return undefined;
    const { sum } = this;
    sum.reset();
    [current, current, previous].forEach((histogram) => sum.add(histogram));
    return {
      medianMs: sum.getValueAtPercentile(MEDIAN_PERCENTILE),
      highMs: sum.getValueAtPercentile(this.quantile * 100),
    };
  }

  private create(kind: string): Windows {
    const windows = {
      current: createHistogram(),
      previous: createHistogram(),
      startedAt: this.clock.now(),
      latencies: undefined,
      computedAt: -Infinity,
    };
    this.windows.set(kind, windows);
    return windows;
  }

  private rotate(windows: Windows): void {
    const now = this.clock.now();
    const ageMs = now - windows.startedAt;
    if (ageMs < LATENCY_WINDOW_MS) return;
    const { current, previous } = windows;
    previous.reset();
    if (ageMs >= 2 * LATENCY_WINDOW_MS) current.reset();
    Object.assign(windows, { current: previous, previous: current, startedAt: now });
  }
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
    useWebAssembly: false,
  });
}
