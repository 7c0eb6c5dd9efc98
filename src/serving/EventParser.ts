/** Parser for server-sent events: splits a stream into events and reads their ids. */

const EVENT_END = Buffer.from('\n\n');
const ID_FIELD = 'id:';

/** Buffers the bytes of an event stream until events are complete. */
export class EventParser {
  private buffered: Buffer = Buffer.alloc(0);

  /** @returns events completed by the chunk, in order */
  push(chunk: Buffer): { readonly data: Buffer; readonly id: string | undefined }[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const events = [];
    let end = this.buffered.indexOf(EVENT_END);
    while (end >= 0) {
      const data = this.buffered.subarray(0, end + EVENT_END.length);
      events.push({ data, id: parseEventId(data) });
      this.buffered = this.buffered.subarray(end + EVENT_END.length);
      end = this.buffered.indexOf(EVENT_END);
    }
    return events;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.buffered;
  }
}

function parseEventId(event: Buffer): string | undefined {
  const line = event
    .toString('latin1')
    .split('\n')
    .find((text) => text.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
}
