/** Parser for server-sent events: splits a stream into events and reads their ids. */
import type { ResponseBuffer } from './ResponseBuffer.js';

const EVENT_END = Buffer.from('\n\n');
const LINE_END = 0x0a;
const ID_FIELD = 'id:';
const DATA_FIELD = 'data:';

/** One complete event. */
export interface StreamEvent {
  /** Bytes of the event with the blank line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Whether the event has data; comments and empty events have none. */
  readonly hasData: boolean;
}

/** Splits the bytes of a stream into events. The cost is linear in the bytes of the stream. */
export class EventParser {
  /** @param incomplete - collects the bytes of an event until it is complete */
  constructor(private readonly incomplete: ResponseBuffer) {}

  /** @returns events completed by the chunk, in order */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    let start = 0;
    let end = this.firstEventEnd(chunk);
    while (end > 0) {
      const part = chunk.subarray(start, end);
      events.push(parseEvent(start === 0 ? this.completeWith(part) : part));
      start = end;
      end = eventEnd(chunk, start);
    }
    this.incomplete.append(chunk.subarray(start));
    return events;
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.incomplete.bytes;
  }

  /** @returns position after the end of the event that is in progress; 0 if it has no end yet */
  private firstEventEnd(chunk: Buffer): number {
    const isLineComplete = this.incomplete.bytes.at(-1) === LINE_END;
    return isLineComplete && chunk[0] === LINE_END ? 1 : eventEnd(chunk, 0);
  }

  private completeWith(part: Buffer): Buffer {
    if (this.incomplete.length === 0) return part;
    const event = Buffer.concat([this.incomplete.bytes, part]);
    this.incomplete.clear();
    return event;
  }
}

/** @returns position after the first event end at or after the start; 0 if there is none */
function eventEnd(chunk: Buffer, start: number): number {
  const index = chunk.indexOf(EVENT_END, start);
  return index < 0 ? 0 : index + EVENT_END.length;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const lines = bytes.toString('latin1').split('\n');
  const idLine = lines.find((line) => line.startsWith(ID_FIELD));
  return {
    bytes,
    id: idLine?.slice(ID_FIELD.length).trim(),
    hasData: lines.some((line) => line.startsWith(DATA_FIELD)),
  };
}
