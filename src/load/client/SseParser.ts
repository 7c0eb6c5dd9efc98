/** One server-sent event. */
export interface ServerSentEvent {
  readonly event: string;
  readonly data: string;
}

/** Cuts a text stream into server-sent events. */
export class SseParser {
  private rest = '';

  /**
   * @param text - next part of the stream
   * @returns events that are complete now
   */
  push(text: string): ServerSentEvent[] {
    const blocks = (this.rest + text).replaceAll('\r\n', '\n').split('\n\n');
    this.rest = blocks.pop() ?? '';
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
