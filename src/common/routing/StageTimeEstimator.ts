import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from '../time/Types.js';
import type { RoutedTimes, RoutedWork } from './Types.js';

/** Length of a window. Two windows are kept, so results expire after at most two window lengths. */
const WINDOW_MS = 15_000;

/** Minimum number of results from which quantiles are computed. */
const MIN_RESULTS = 20;

/** Time for which computed quantiles are cached. */
const QUANTILES_MAX_AGE_MS = 250;

/** Highest recorded time; higher values are clamped to it. */
const MAX_RECORDED_MS = 600_000;
const MEDIAN_PERCENTILE = 50;
const HEDGE_PERCENTILE = 95;

/** Histograms of one stage, each over the current and the previous window, and cached quantiles. */
interface StageHistograms {
  service: [current: Histogram, previous: Histogram];
  firstOutput: [current: Histogram, previous: Histogram];
  windowStartMs: number;
  quantiles: Quantiles | null;
  quantilesAtMs: number;
}

/** Expected times of one stage, in milliseconds. */
export interface Quantiles {
  /** 0.5-quantile of the service time. */
  readonly medianServiceMs: number;
  /** 0.95-quantile of the time to the first chunk or to the result. */
  readonly p95FirstChunkMs: number;
}

/** Estimates the time of each stage of each template from the results of the last two windows. */
export class StageTimeEstimator {
  private readonly stages = new Map<string, StageHistograms>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records the times of a result.
   * @param work - template and stage
   * @param times - times of one result
   */
  record(work: RoutedWork, times: RoutedTimes): void {
    const histograms = this.histogramsOf(work);
    histograms.service[0].recordValue(clamp(times.serviceMs));
    histograms.firstOutput[0].recordValue(clamp(times.firstChunkMs));
  }

  /**
   * Returns the expected times of a stage.
   * @param work - template and stage
   * @returns quantiles of recent results, or null if there are too few of them
   */
  expectedTimes(work: RoutedWork): Quantiles | null {
    const key = keyOf(work);
    const histograms = this.stages.get(key);
    if (!histograms) return null;
    this.rotate(histograms);
    const now = this.clock.now();
    if (now - histograms.quantilesAtMs >= QUANTILES_MAX_AGE_MS) {
      histograms.quantiles = computeQuantiles(histograms);
      histograms.quantilesAtMs = now;
    }
    return histograms.quantiles;
  }

  /** Deletes stages without results for two windows, such as those of retired templates. */
  prune(): void {
    const oldest = this.clock.now() - 2 * WINDOW_MS;
    for (const [key, histograms] of this.stages) {
      if (histograms.windowStartMs < oldest) this.stages.delete(key);
    }
  }

  private histogramsOf(work: RoutedWork): StageHistograms {
    const key = keyOf(work);
    const known = this.stages.get(key);
    if (known) {
      this.rotate(known);
      return known;
    }
    const histograms: StageHistograms = {
      service: [createHistogram(), createHistogram()],
      firstOutput: [createHistogram(), createHistogram()],
      windowStartMs: this.clock.now(),
      quantiles: null,
      quantilesAtMs: Number.NEGATIVE_INFINITY,
    };
    this.stages.set(key, histograms);
    return histograms;
  }

  private rotate(histograms: StageHistograms): void {
    const age = this.clock.now() - histograms.windowStartMs;
    if (age < WINDOW_MS) return;
    for (const windows of [histograms.service, histograms.firstOutput]) {
      windows.reverse();
      windows[0].reset();
      if (age >= 2 * WINDOW_MS) windows[1].reset();
    }
    Object.assign(histograms, { windowStartMs: this.clock.now() });
  }
}

function computeQuantiles(histograms: StageHistograms): Quantiles | null {
  const service = merge(histograms.service);
  if (service.totalCount < MIN_RESULTS) return null;
  return {
    medianServiceMs: service.getValueAtPercentile(MEDIAN_PERCENTILE),
    p95FirstChunkMs: merge(histograms.firstOutput).getValueAtPercentile(HEDGE_PERCENTILE),
  };
}

function merge([current, previous]: readonly [Histogram, Histogram]): Histogram {
  const sum = createHistogram();
  sum.add(current);
  sum.add(previous);
  return sum;
}

function createHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_RECORDED_MS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
    useWebAssembly: false,
  });
}

function clamp(ms: number): number {
  return Math.min(MAX_RECORDED_MS, Math.max(1, Math.round(ms)));
}

function keyOf(work: RoutedWork): string {
  return `${work.template}/${work.stage}`;
}
