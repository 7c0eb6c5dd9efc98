/** Parser for server-sent events: splits a stream into events and reads their ids. */
import type { ResponseBuffer } from './ResponseBuffer.js';

const EVENT_END = Buffer.from('\n\n');
const LINE_END = 0x0a;
const ID_FIELD = Buffer.from('id:');
const DATA_FIELD = Buffer.from('data:');

/**
 * Receives an event. The arguments replace an object for each event: a sender of small events would
 * make thousands of them from one chunk.
 * @param bytes - buffer that holds the event
 * @param start - position of the event
 * @param end - position after the blank line that ends it
 * @param id - id of the event
 * @param hasData - whether it has data; comments and empty events have none
 */
export type EventHandler = (
  bytes: Buffer,
  start: number,
  end: number,
  id: string | undefined,
  hasData: boolean,
) => void;

/** Splits the bytes of a stream into events. The cost is linear in the bytes of the stream. */
export class EventParser {
  /**
   * @param incomplete - collects the bytes of an event until it is complete
   * @param onEvent - called with each complete event, in order
   */
  constructor(
    private readonly incomplete: ResponseBuffer,
    private readonly onEvent: EventHandler,
  ) {}

  /** Parses the events that the chunk completes. */
  push(chunk: Buffer): void {
    const end = this.incomplete.length > 0 ? this.completeFirst(chunk) : 0;
    if (end < 0) return;
    this.incomplete.append(chunk.subarray(this.parse(chunk, end)));
  }

  /** Bytes after the last complete event. */
  get remainder(): Buffer {
    return this.incomplete.bytes;
  }

  /** @returns position after the event that is in progress; -1 if the chunk has no end of it */
  private completeFirst(chunk: Buffer): number {
    const isLineComplete = this.incomplete.bytes.at(-1) === LINE_END;
    const end = isLineComplete && chunk[0] === LINE_END ? 1 : eventEnd(chunk);
    if (end < 0) {
      this.incomplete.append(chunk);
      return end;
    }
    const event = Buffer.concat([this.incomplete.bytes, chunk.subarray(0, end)]);
    this.incomplete.clear();
    this.parse(event, 0);
    return end;
  }

  /** @returns position after the last complete event */
  private parse(bytes: Buffer, from: number): number {
    let start = from;
    let id: string | undefined;
    let hasData = false;
    let isLineStart = true;
    for (let index = from; index < bytes.length; index += 1) {
      if (bytes[index] !== LINE_END) {
        if (isLineStart && hasField(bytes, index, DATA_FIELD)) hasData = true;
        else if (isLineStart && id === undefined) id = idOf(bytes, index);
        isLineStart = false;
      } else if (isLineStart && index > start) {
        this.onEvent(bytes, start, index + 1, id, hasData);
        start = index + 1;
        id = undefined;
        hasData = false;
      } else isLineStart = true;
    }
    return start;
  }
}

/** @returns position after the first end of an event; -1 if there is none */
function eventEnd(chunk: Buffer): number {
  const index = chunk.indexOf(EVENT_END);
  return index < 0 ? -1 : index + EVENT_END.length;
}

function hasField(bytes: Buffer, index: number, field: Buffer): boolean {
  for (let offset = 0; offset < field.length; offset += 1) {
    if (bytes[index + offset] !== field[offset]) return false;
  }
  return true;
}

/** @returns value of the id field in the line; undefined if the line is another one */
function idOf(bytes: Buffer, lineStart: number): string | undefined {
  if (!hasField(bytes, lineStart, ID_FIELD)) return undefined;
  const lineEnd = bytes.indexOf(LINE_END, lineStart);
  const end = lineEnd < 0 ? bytes.length : lineEnd;
  return bytes.toString('latin1', lineStart + ID_FIELD.length, end).trim();
}
