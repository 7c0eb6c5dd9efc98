/** Reads the data fields of a stream of server-sent events. */

const DATA_PREFIX = 'data:';

/** Longest line of a stream, in UTF-16 code units. */
const MAX_LINE_LENGTH = 1024 * 1024;

/**
 * @param body - bytes of the stream
 * @returns data of each event, in order
 * @throws if a line exceeds {@link MAX_LINE_LENGTH}
 */
export async function* readEventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let partialLine = '';
  for await (const bytes of body) {
    const text = decoder.decode(bytes, { stream: true });
    // Splitting only chunks with a line end keeps the cost linear in the length of a line.
    const lines = text.includes('\n') ? `${partialLine}${text}`.split(/\r?\n/) : [];
    partialLine = lines.pop() ?? `${partialLine}${text}`;
    if (partialLine.length > MAX_LINE_LENGTH) {
      throw new Error(`line of the stream exceeds ${MAX_LINE_LENGTH} characters`);
    }
    for (const line of lines) {
      if (line.startsWith(DATA_PREFIX)) yield line.slice(DATA_PREFIX.length).trim();
    }
  }
}
