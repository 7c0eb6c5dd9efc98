import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import { Frame } from '../common/protocol/Attempt.js';

/** Largest accepted line, in characters; holds a result with the largest output after escaping. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;

/** Parses the response stream of an attempt into validated frames. */
export class FrameReader {
  private partialLine = '';

  /**
   * @param text - next part of the stream, which may end within a line
   * @returns the frames completed by this part, or null if a line is invalid or too long
   */
  read(text: string): Frame[] | null {
    const lines = (this.partialLine + text).split('\n');
    this.partialLine = lines.pop() ?? '';
    if (this.partialLine.length > MAX_LINE_LENGTH) return null;
    const frames: Frame[] = [];
    for (const line of lines) {
      const frame = parseFrame(line);
      if (!frame) return null;
      frames.push(frame);
    }
    return frames;
  }
}

function parseFrame(line: string): Frame | null {
  let value: unknown;
  try {
    value = parseJson(line, PAYLOAD_BOUNDS);
  } catch {
    return null;
  }
  if (isChunk(value)) return value;
  const parsed = Frame.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/**
 * Validates only the chunk fields that the entry uses. A chunk arrives for every generated token,
 * and validation with the full schema costs several times the JSON parse.
 */
function isChunk(value: unknown): value is Extract<Frame, { type: 'chunk' }> {
  if (value === null || typeof value !== 'object') return false;
  const frame = value as Record<string, unknown>;
  return (
    frame.type === 'chunk' &&
    typeof frame.attemptId === 'string' &&
    typeof frame.incarnation === 'string' &&
    typeof frame.text === 'string' &&
    Number.isInteger(frame.offset) &&
    (frame.offset as number) >= 0
  );
}
