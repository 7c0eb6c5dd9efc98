/** Parses JSON of other processes at a bounded cost. */

/** Bounds of a JSON text. */
export interface JsonBounds {
  /** Most values: a value of two bytes becomes an object of many. */
  readonly maxValues: number;
  /** Deepest nesting. */
  readonly maxDepth?: number;
}

/** Bounds of payloads, which may hold long arrays of numbers. */
export const PAYLOAD_BOUNDS: JsonBounds = { maxValues: 1_000_000 };

const DEFAULT_MAX_DEPTH = 64;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const COMMA = 0x2c;
const OPENING = new Set([0x5b, 0x7b]);
const CLOSING = new Set([0x5d, 0x7d]);

/**
 * Parses a text after its values have been counted, so that what it costs does not depend on its form.
 * @param text - JSON text, whose length the caller bounds
 * @param bounds - bounds of its content
 * @returns the value
 * @throws SyntaxError if the text is not JSON or exceeds the bounds
 */
export function parseJson(text: string, bounds: JsonBounds): unknown {
  const { maxValues, maxDepth = DEFAULT_MAX_DEPTH } = bounds;
  let values = 1;
  let depth = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === QUOTE) index = endOfString(text, index);
    else if (code === COMMA) values += 1;
    else if (OPENING.has(code)) {
      values += 1;
      depth += 1;
    } else if (CLOSING.has(code)) depth -= 1;
    if (values > maxValues) throw new SyntaxError(`JSON of more than ${maxValues} values`);
    if (depth > maxDepth) throw new SyntaxError(`JSON nested deeper than ${maxDepth}`);
  }
  return JSON.parse(text);
}

/** @returns position of the quote that ends the string; the end of the text if there is none */
function endOfString(text: string, start: number): number {
  let end = text.indexOf('"', start + 1);
  while (end >= 0 && isEscaped(text, end)) end = text.indexOf('"', end + 1);
  return end < 0 ? text.length : end;
}

function isEscaped(text: string, position: number): boolean {
  let start = position;
  while (text.charCodeAt(start - 1) === BACKSLASH) start -= 1;
  return (position - start) % 2 === 1;
}
