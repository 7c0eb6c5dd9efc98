import { Frame } from '../common/protocol/Attempt.js';

/** Largest line accepted, in characters: a result of the largest output with escapes. */
const MAX_LINE_LENGTH = 16 * 1024 * 1024;

/** Splits an attempt's answer stream into checked frames. */
export class FrameReader {
  private rest = '';

  /**
   * @param text - next part of the stream
   * @returns complete frames, or null if a line is not a valid frame
   */
  read(text: string): Frame[] | null {
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > MAX_LINE_LENGTH) return null;
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
    value = JSON.parse(line);
  } catch {
    return null;
  }
  if (isChunk(value)) return value;
  const parsed = Frame.safeParse(value);
  return parsed.success ? parsed.data : null;
}

/**
 * Checks by hand the fields of chunks that the entry uses: one arrives for every generated token,
 * and the full schema check costs several times the JSON parse.
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
