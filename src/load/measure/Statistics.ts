/** Least-squares fits and quantiles of measured values. */
import type { Line, Point, Result, Series } from './Types.js';

/**
 * Fits a straight line by least squares.
 * @param points - pairs of x and y; the slope is 0 if all x are equal
 * @returns line with the smallest sum of squared distances in y
 */
export function fitLine(points: readonly { x: number; y: number }[]): Line {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  return { base: meanY - slope * meanX, slope };
}

/**
 * Fits a line to every value of a series.
 * @param series - measured points
 * @returns the series with a line for every value name of its first point
 */
export function withLines(series: Series): Result {
  const names = Object.keys(series.points[0]?.values ?? {});
  const lines = names.map((name) => [name, fitLine(pairs(series.points, name))] as const);
  return { ...series, lines: Object.fromEntries(lines) };
}

/**
 * Returns a quantile without interpolation.
 * @param values - values in any order; 0 is returned if there are none
 * @param share - quantile as a fraction from 0 to 1
 * @returns value at the quantile
 */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function pairs(points: readonly Point[], name: string): { x: number; y: number }[] {
  return points.map(({ x, values }) => ({ x, y: values[name] ?? 0 }));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
