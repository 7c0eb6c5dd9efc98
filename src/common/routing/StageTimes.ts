import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from '../time/Types.js';
import type { RoutedTimes, RoutedWork } from './Types.js';

/** Two windows are kept; results older than two window lengths are forgotten. */
const WINDOW_MS = 15_000;

/** Quantiles of fewer results are not used. */
const MIN_RESULTS = 20;

/** Quantiles are computed again after this time. */
const QUANTILES_MAX_AGE_MS = 250;
const HIGHEST_MS = 600_000;
const MEDIAN = 50;
const HEDGE_PERCENTILE = 95;

interface Learned {
  service: [current: Histogram, previous: Histogram];
  first: [current: Histogram, previous: Histogram];
  windowStartMs: number;
  quantiles: Quantiles | null;
  quantilesAtMs: number;
}

/** Expected times of one stage, in milliseconds. */
export interface Quantiles {
  /** 0.5-quantile of the service time. */
  readonly medianServiceMs: number;
  /** 0.95-quantile of the time to the first chunk or to the result. */
  readonly highFirstMs: number;
}

/** Learns how long each stage of each template takes. */
export class StageTimes {
  private readonly stages = new Map<string, Learned>();

  constructor(private readonly clock: Clock) {}

  /**
   * @param work - template and stage
   * @param times - times of one result
   */
  add(work: RoutedWork, times: RoutedTimes): void {
    const learned = this.learnedOf(work);
    learned.service[0].recordValue(clamp(times.serviceMs));
    learned.first[0].recordValue(clamp(times.firstMs));
  }

  /**
   * @param work - template and stage
   * @returns expected times, or null if too few recent results are known
   */
  expect(work: RoutedWork): Quantiles | null {
    const key = keyOf(work);
    const learned = this.stages.get(key);
    if (!learned) return null;
    this.rotate(learned);
    const now = this.clock.now();
    if (now - learned.quantilesAtMs >= QUANTILES_MAX_AGE_MS) {
      learned.quantiles = computeQuantiles(learned);
      learned.quantilesAtMs = now;
    }
    return learned.quantiles;
  }

  /** Forgets stages that have had no result for two windows, such as those of retired templates. */
  prune(): void {
    const oldest = this.clock.now() - 2 * WINDOW_MS;
    for (const [key, learned] of this.stages) {
      if (learned.windowStartMs < oldest) this.stages.delete(key);
    }
  }

  private learnedOf(work: RoutedWork): Learned {
    const key = keyOf(work);
    const known = this.stages.get(key);
    if (known) {
      this.rotate(known);
      return known;
    }
    const learned: Learned = {
      service: [createHistogram(), createHistogram()],
      first: [createHistogram(), createHistogram()],
      windowStartMs: this.clock.now(),
      quantiles: null,
      quantilesAtMs: Number.NEGATIVE_INFINITY,
    };
    this.stages.set(key, learned);
    return learned;
  }

  private rotate(learned: Learned): void {
    const age = this.clock.now() - learned.windowStartMs;
    if (age < WINDOW_MS) return;
    for (const windows of [learned.service, learned.first]) {
      windows.reverse();
      windows[0].reset();
      if (age >= 2 * WINDOW_MS) windows[1].reset();
    }
    Object.assign(learned, { windowStartMs: this.clock.now() });
  }
}

function computeQuantiles(learned: Learned): Quantiles | null {
  const service = merge(learned.service);
  if (service.totalCount < MIN_RESULTS) return null;
  return {
    medianServiceMs: service.getValueAtPercentile(MEDIAN),
    highFirstMs: merge(learned.first).getValueAtPercentile(HEDGE_PERCENTILE),
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
    highestTrackableValue: HIGHEST_MS,
    numberOfSignificantValueDigits: 2,
    autoResize: false,
    useWebAssembly: false,
  });
}

function clamp(ms: number): number {
  return Math.min(HIGHEST_MS, Math.max(1, Math.round(ms)));
}

function keyOf(work: RoutedWork): string {
  return `${work.template}/${work.stage}`;
}
