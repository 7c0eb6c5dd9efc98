/** One server-sent event. */
export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

/** Incremental parser of server-sent events. */
export class SseParser {
  private buffer = '';

  /**
   * Parses the next part of the stream; an incomplete event is kept until the next call.
   * @param text - next part of the stream
   * @returns events completed by this part; events without data are skipped
   */
  push(text: string): ServerSentEvent[] {
    const blocks = (this.buffer + text).replaceAll('\r\n', '\n').split('\n\n');
    this.buffer = blocks.pop() ?? '';
    return blocks.map(parseBlock).filter((event) => event.data !== '');
  }
}

function parseBlock(block: string): ServerSentEvent {
  const fields = block.split('\n');
  const valuesOf = (field: string): string[] =>
    fields
      .filter((line) => line.startsWith(`${field}:`))
      .map((line) => line.slice(field.length + 1).trimStart());
  return { event: valuesOf('event')[0] ?? 'message', data: valuesOf('data').join('\n') };
}
