import type { Socket } from 'node:net';

/** Largest message, in bytes; longer ones do not come from a peer. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

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
      const lines = `${this.partialLine}${text.toString()}`.split('\n');
      this.partialLine = lines.pop() ?? '';
      if (this.partialLine.length > MAX_MESSAGE_BYTES) {
        socket.destroy(new Error(`peer message exceeds ${MAX_MESSAGE_BYTES} bytes`));
      }
      try {
        lines.forEach((line) => onMessage(JSON.parse(line)));
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
