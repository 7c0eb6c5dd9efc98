import type { Socket } from 'node:net';
import { parseJson } from '../../common/json/BoundedJson.js';

/** Largest message, in bytes; longer ones do not come from a peer. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Bounds of a message; the largest ones have the handles of all pieces of a stage. */
const MESSAGE_BOUNDS = { maxValues: 250_000 };

/** Sends and receives JSON messages on a connection, one per line. */
export class JsonLinesConnection {
  private partialLine = '';

  /**
   * @param socket - connection
   * @param onMessage - called with each parsed message
   */
  constructor(
    private readonly socket: Socket,
    onMessage: (message: unknown) => void,
  ) {
    socket.setNoDelay(true);
    socket.setEncoding('utf8');
    socket.on('data', (text: Buffer | string) => {
      // Only text with a line end is split, so that the cost is linear in the length of a line.
      const received = `${this.partialLine}${text.toString()}`;
      const lines = text.includes('\n') ? received.split('\n') : [];
      this.partialLine = lines.pop() ?? received;
      if (this.partialLine.length > MAX_MESSAGE_BYTES) {
        this.partialLine = '';
        socket.destroy(new Error(`peer message exceeds ${MAX_MESSAGE_BYTES} bytes`));
      }
      try {
        lines.forEach((line) => onMessage(parseJson(line, MESSAGE_BOUNDS)));
      } catch (error) {
        socket.destroy(error instanceof Error ? error : new Error('malformed peer message'));
      }
    });
  }

  /** Sends a message; messages on a closed connection are dropped. */
  send(message: object): void {
    if (!this.socket.destroyed) this.socket.write(`${JSON.stringify(message)}\n`);
  }
}
