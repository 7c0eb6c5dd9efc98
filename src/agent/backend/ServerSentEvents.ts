/** Reads the data fields of a stream of server-sent events. */

const DATA_PREFIX = 'data:';

/**
 * @param body - bytes of the stream
 * @returns data of each event, in order
 */
export async function* readEventData(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let buffer = '';
  for await (const bytes of body) {
    buffer += decoder.decode(bytes, { stream: true });
    const lines = buffer.split(/\r?\n/);
    buffer = lines.pop() ?? '';
    for (const line of lines) {
      if (line.startsWith(DATA_PREFIX)) yield line.slice(DATA_PREFIX.length).trim();
    }
  }
}
