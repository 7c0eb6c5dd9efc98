/** Fit of a daily series: level, growth, weekdays and how far they can be trusted. */

const DAYS_PER_WEEK = 7;
const MS_PER_DAY = 86_400_000;
/** Rounds of fitting growth and weekdays in turn; the figures settle after two or three. */
const FIT_ROUNDS = 4;
/** Weekdays are fitted only if each one was seen twice. */
const WEEKDAY_MIN_DAYS = 14;
/** Volume taken for a day without any, so that it has a logarithm. */
const EMPTY_DAY_VOLUME = 0.5;
const LARGEST_AUTOCORRELATION = 0.9;

/** Value of one day. */
export interface DayValue {
  /** Days since 1970-01-01. */
  readonly day: number;
  readonly value: number;
}

/** Sum forecast for a range of days, with its standard deviation relative to the sum. */
export interface SumForecast {
  readonly sum: number;
  readonly relativeSd: number;
}

interface Line {
  readonly level: number;
  readonly slope: number;
  readonly center: number;
}

/**
 * @param date - `YYYY-MM-DD`
 * @returns days since 1970-01-01
 */
export function dayNumber(date: string): number {
  return Date.parse(`${date}T00:00:00Z`) / MS_PER_DAY;
}

/**
 * @param month - `YYYY-MM`
 * @returns numbers of its days, ascending
 */
export function daysOfMonth(month: string): number[] {
  const [year, number] = month.split('-').map(Number) as [number, number];
  const first = Date.UTC(year, number - 1, 1) / MS_PER_DAY;
  const next = Date.UTC(year, number, 1) / MS_PER_DAY;
  return Array.from({ length: next - first }, (_, index) => first + index);
}

/**
 * Forecasts the sum of a series over later days. The logarithm of the series is taken as a line plus
 * an effect of the weekday. A slope that is small against its own error is reduced, because
 * extending it over a month would make a large error of a small one.
 * @param history - consecutive days, ascending
 * @param future - days to sum over
 * @returns sum and its relative standard deviation
 */
export function forecastSum(history: readonly DayValue[], future: readonly number[]): SumForecast {
  const logs = history.map(({ day, value }) => ({
    day,
    value: Math.log(Math.max(value, EMPTY_DAY_VOLUME)),
  }));
  const { line, weekdays } = fit(logs);
  const residuals = logs.map(
    ({ day, value }) => value - valueAt(line, day) - weekdays[day % DAYS_PER_WEEK]!,
  );
  const count = residuals.length;
  const variance =
    sumOf(residuals.map((item) => item * item)) / Math.max(1, count - fittedCount(count));
  const inflation = inflationOf(residuals);
  const spread = sumOf(logs.map(({ day }) => (day - line.center) ** 2)) || 1;
  const slopeVariance = (variance * inflation) / spread;
  const kept = Math.max(0, 1 - slopeVariance / (line.slope * line.slope || Infinity));
  const slope = line.slope * (slopeVariance === 0 ? 1 : kept);
  const sum = sumOf(
    future.map((day) =>
      Math.exp(
        line.level + slope * (day - line.center) + weekdays[day % DAYS_PER_WEEK]! + variance / 2,
      ),
    ),
  );
  const horizon = meanOf(future) - line.center;
  // What was taken off the slope may have been real growth.
  const removed = line.slope - slope;
  const relativeVariance =
    (variance * inflation) / count +
    (slopeVariance + removed * removed) * horizon * horizon +
    (variance * inflation) / future.length;
  return { sum, relativeSd: Math.sqrt(relativeVariance) };
}

/** Growth and weekdays are fitted in turn, each to what the other leaves. */
function fit(logs: readonly DayValue[]): { line: Line; weekdays: readonly number[] } {
  let weekdays: readonly number[] = Array.from({ length: DAYS_PER_WEEK }, () => 0);
  let line = fitLine(logs);
  if (logs.length < WEEKDAY_MIN_DAYS) return { line, weekdays };
  for (let round = 0; round < FIT_ROUNDS; round += 1) {
    weekdays = fitWeekdays(logs, line);
    line = fitLine(withoutWeekdays(logs, weekdays));
  }
  return { line, weekdays };
}

function fitWeekdays(logs: readonly DayValue[], line: Line): number[] {
  const effects = Array.from({ length: DAYS_PER_WEEK }, (_, weekday) => {
    const days = logs.filter(({ day }) => day % DAYS_PER_WEEK === weekday);
    return meanOf(days.map(({ day, value }) => value - valueAt(line, day)));
  });
  const offset = meanOf(effects);
  return effects.map((effect) => effect - offset);
}

function withoutWeekdays(logs: readonly DayValue[], weekdays: readonly number[]): DayValue[] {
  return logs.map(({ day, value }) => ({ day, value: value - weekdays[day % DAYS_PER_WEEK]! }));
}

function fitLine(points: readonly DayValue[]): Line {
  const center = meanOf(points.map(({ day }) => day));
  const level = meanOf(points.map(({ value }) => value));
  const spread = sumOf(points.map(({ day }) => (day - center) ** 2));
  const product = sumOf(points.map(({ day, value }) => (day - center) * (value - level)));
  return { level, slope: spread === 0 ? 0 : product / spread, center };
}

/** Factor by which neighbouring days that resemble each other widen the error of a mean. */
function inflationOf(residuals: readonly number[]): number {
  const square = sumOf(residuals.map((item) => item * item));
  if (square === 0) return 1;
  const product = sumOf(residuals.slice(1).map((item, index) => item * residuals[index]!));
  const measured = product / square;
  // The estimate from a short series is too low by about (1 + 4r) / n (Kendall).
  const corrected = measured + (1 + 4 * measured) / residuals.length;
  const correlation = Math.min(LARGEST_AUTOCORRELATION, Math.max(0, corrected));
  return (1 + correlation) / (1 - correlation);
}

/** Parameters fitted to a series: level, slope and six weekdays. */
function fittedCount(days: number): number {
  return days < WEEKDAY_MIN_DAYS ? 2 : 2 + DAYS_PER_WEEK - 1;
}

function valueAt({ level, slope, center }: Line, day: number): number {
  return level + slope * (day - center);
}

function sumOf(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * @param values - numbers
 * @returns mean; 0 if there are none
 */
export function meanOf(values: readonly number[]): number {
  return values.length === 0 ? 0 : sumOf(values) / values.length;
}
