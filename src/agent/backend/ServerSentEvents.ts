/** Reads the data fields of a stream of server-sent events. */
import { ByteAllowance } from '../../common/response/ByteAllowance.js';

const DATA_PREFIX = 'data:';

/** Longest line of a stream, in UTF-16 code units. */
const MAX_LINE_LENGTH = 1024 * 1024;

/** Most bytes of comments and empty lines of a stream in a second, beside a line for each event. */
const IDLE_BYTES_PER_S = 64 * 1024;

/**
 * @param body - bytes of the stream
 * @returns data of each event, in order
 * @throws if a line exceeds {@link MAX_LINE_LENGTH} or lines without data exceed their allowance
 */
export async function* readEventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  const idleAllowance = new ByteAllowance(IDLE_BYTES_PER_S);
  let partialLine = '';
  for await (const bytes of body) {
    const text = decoder.decode(bytes, { stream: true });
    // Splitting only chunks with a line end keeps the cost linear in the length of a line.
    const lines = text.includes('\n') ? `${partialLine}${text}`.split(/\r?\n/) : [];
    partialLine = lines.pop() ?? `${partialLine}${text}`;
    if (partialLine.length > MAX_LINE_LENGTH) {
      throw new Error(`line of the stream exceeds ${MAX_LINE_LENGTH} characters`);
    }
    const dataLines = lines.filter((line) => line.startsWith(DATA_PREFIX));
    const idleBytes =
      lines.reduce((sum, line) => sum + line.length + 1, 0) - totalLength(dataLines);
    if (idleAllowance.spend(Math.max(0, idleBytes), performance.now()) > 0) {
      throw new Error(`comments and empty lines exceed ${IDLE_BYTES_PER_S} bytes a second`);
    }
    for (const line of dataLines) yield line.slice(DATA_PREFIX.length).trim();
  }
}

/** @returns length of the lines with their ends and the empty line after each */
function totalLength(lines: readonly string[]): number {
  return lines.reduce((sum, line) => sum + line.length + 2, 0);
}
