/** Measurements of what each role costs. */

/** One point of a measurement. */
export interface Point {
  /** What was varied, such as instances or requests per second. */
  readonly x: number;
  /** Measured values by name; the unit is the end of the name. */
  readonly values: Readonly<Record<string, number>>;
}

/** Points of one series and the straight lines through them. */
export interface Series {
  readonly name: string;
  /** What `x` counts. */
  readonly unit: string;
  readonly points: readonly Point[];
}

/** A straight line: `value = base + slope * x`. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/** A series with the line of each of its values. */
export interface Result extends Series {
  readonly lines: Readonly<Record<string, Line>>;
}

/** Something that can be measured by name. */
export interface Measurement {
  readonly description: string;
  /** @param progress - gets one line a step */
  run(progress: (line: string) => void): Promise<Series[]>;
}
