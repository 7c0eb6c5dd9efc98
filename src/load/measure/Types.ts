/** Types of the measurements of the resource cost of each role. */

/** One point of a measurement. */
export interface Point {
  /** Value of the independent variable, such as instances or requests per second. */
  readonly x: number;
  /** Measured values by name; names end with the unit. */
  readonly values: Readonly<Record<string, number>>;
}

/** Points of one measured series. */
export interface Series {
  readonly name: string;
  /** Unit of `x`. */
  readonly unit: string;
  readonly points: readonly Point[];
}

/** A straight line: `value = base + slope * x`. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/** A series with a fitted line for each of its values. */
export interface Result extends Series {
  readonly lines: Readonly<Record<string, Line>>;
}

/** A measurement that can be run by name. */
export interface Measurement {
  readonly description: string;
  /**
   * Runs the measurement.
   * @param progress - called with one line after each step
   * @returns measured series
   */
  run(progress: (line: string) => void): Promise<Series[]>;
}
