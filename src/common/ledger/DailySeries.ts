/** Forecasts a daily series from its level, growth and weekday effects, with their uncertainty. */

const DAYS_PER_WEEK = 7;
const MS_PER_DAY = 86_400_000;
/** Rounds of alternately fitting growth and weekdays; the fit converges in two or three. */
const FIT_ROUNDS = 4;
/** Minimum length of a series, in days, to fit weekdays: each weekday occurs at least twice. */
const MIN_WEEKDAY_FIT_DAYS = 14;
/** Minimum value of a day, so that days without requests have a logarithm. */
const MIN_DAY_VALUE = 0.5;
/** Upper bound of the autocorrelation, which keeps the variance inflation finite. */
const MAX_AUTOCORRELATION = 0.9;

/** Value of one day. */
export interface DayValue {
  /** Days since 1970-01-01. */
  readonly day: number;
  readonly value: number;
}

/** Forecast sum over a range of days, with its standard deviation relative to the sum. */
export interface SumForecast {
  readonly sum: number;
  readonly relativeSd: number;
}

/** Straight line through the logarithms of a series; `level` is its value at day `center`. */
interface TrendLine {
  readonly level: number;
  readonly slope: number;
  readonly center: number;
}

/**
 * Converts a date to a day number.
 * @param date - `YYYY-MM-DD`
 * @returns days since 1970-01-01
 */
export function dayNumber(date: string): number {
  return Date.parse(`${date}T00:00:00Z`) / MS_PER_DAY;
}

/**
 * Lists the days of a month.
 * @param month - `YYYY-MM`
 * @returns day numbers, ascending
 */
export function daysOfMonth(month: string): number[] {
  const [year, number] = month.split('-').map(Number) as [number, number];
  const first = Date.UTC(year, number - 1, 1) / MS_PER_DAY;
  const next = Date.UTC(year, number, 1) / MS_PER_DAY;
  return Array.from({ length: next - first }, (_, index) => first + index);
}

/**
 * Forecasts the sum of a series over later days. The logarithm of the series is modelled as a line
 * plus a weekday effect. A slope that is small relative to its standard error is shrunk towards
 * zero, because extrapolating it over a month would turn a small error into a large one.
 * @param history - values of consecutive days, ascending
 * @param future - day numbers to sum over
 * @returns sum and its relative standard deviation
 */
export function forecastSum(history: readonly DayValue[], future: readonly number[]): SumForecast {
  const logs = history.map(({ day, value }) => ({
    day,
    value: Math.log(Math.max(value, MIN_DAY_VALUE)),
  }));
  const { line, weekdays } = fitTrendAndWeekdays(logs);
  const residuals = logs.map(
    ({ day, value }) => value - valueAt(line, day) - weekdays[day % DAYS_PER_WEEK]!,
  );
  const count = residuals.length;
  const variance =
    sumOf(residuals.map((item) => item * item)) / Math.max(1, count - parameterCount(count));
  const inflation = varianceInflation(residuals);
  const spread = sumOf(logs.map(({ day }) => (day - line.center) ** 2)) || 1;
  const slopeVariance = (variance * inflation) / spread;
  const shrinkage = Math.max(0, 1 - slopeVariance / (line.slope * line.slope || Infinity));
  const slope = line.slope * (slopeVariance === 0 ? 1 : shrinkage);
  const sum = sumOf(
    future.map((day) =>
      Math.exp(
        line.level + slope * (day - line.center) + weekdays[day % DAYS_PER_WEEK]! + variance / 2,
      ),
    ),
  );
  const horizon = meanOf(future) - line.center;
  // The part removed from the slope may have been real growth, so it counts as uncertainty.
  const removedSlope = line.slope - slope;
  const relativeVariance =
    (variance * inflation) / count +
    (slopeVariance + removedSlope * removedSlope) * horizon * horizon +
    (variance * inflation) / future.length;
  return { sum, relativeSd: Math.sqrt(relativeVariance) };
}

/** Fits growth and weekdays alternately, each to the residuals of the other. */
function fitTrendAndWeekdays(logs: readonly DayValue[]): {
  line: TrendLine;
  weekdays: readonly number[];
} {
  let weekdays: readonly number[] = Array.from({ length: DAYS_PER_WEEK }, () => 0);
  let line = fitLine(logs);
  if (logs.length < MIN_WEEKDAY_FIT_DAYS) return { line, weekdays };
  for (let round = 0; round < FIT_ROUNDS; round += 1) {
    weekdays = fitWeekdays(logs, line);
    line = fitLine(withoutWeekdays(logs, weekdays));
  }
  return { line, weekdays };
}

function fitWeekdays(logs: readonly DayValue[], line: TrendLine): number[] {
  const effects = Array.from({ length: DAYS_PER_WEEK }, (_, weekday) => {
    const days = logs.filter(({ day }) => day % DAYS_PER_WEEK === weekday);
    return meanOf(days.map(({ day, value }) => value - valueAt(line, day)));
  });
  const offset = meanOf(effects);
  return effects.map((effect) => effect - offset);
}

/** Subtracts the weekday effects from a series. */
function withoutWeekdays(logs: readonly DayValue[], weekdays: readonly number[]): DayValue[] {
  return logs.map(({ day, value }) => ({ day, value: value - weekdays[day % DAYS_PER_WEEK]! }));
}

/** Least-squares line. */
function fitLine(points: readonly DayValue[]): TrendLine {
  const center = meanOf(points.map(({ day }) => day));
  const level = meanOf(points.map(({ value }) => value));
  const spread = sumOf(points.map(({ day }) => (day - center) ** 2));
  const product = sumOf(points.map(({ day, value }) => (day - center) * (value - level)));
  return { level, slope: spread === 0 ? 0 : product / spread, center };
}

/** Factor by which the lag-1 autocorrelation of the residuals inflates the variance of a mean. */
function varianceInflation(residuals: readonly number[]): number {
  const square = sumOf(residuals.map((item) => item * item));
  if (square === 0) return 1;
  const product = sumOf(residuals.slice(1).map((item, index) => item * residuals[index]!));
  const estimate = product / square;
  // Corrects the bias of a short series: the estimate r is too low by about (1 + 4r) / n (Kendall).
  const corrected = estimate + (1 + 4 * estimate) / residuals.length;
  const correlation = Math.min(MAX_AUTOCORRELATION, Math.max(0, corrected));
  return (1 + correlation) / (1 - correlation);
}

/** Number of fitted parameters: level and slope, and six weekday effects if weekdays are fitted. */
function parameterCount(days: number): number {
  return days < MIN_WEEKDAY_FIT_DAYS ? 2 : 2 + DAYS_PER_WEEK - 1;
}

function valueAt({ level, slope, center }: TrendLine, day: number): number {
  return level + slope * (day - center);
}

function sumOf(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Computes the arithmetic mean.
 * @param values - numbers
 * @returns mean; 0 for an empty list
 */
export function meanOf(values: readonly number[]): number {
  return values.length === 0 ? 0 : sumOf(values) / values.length;
}
