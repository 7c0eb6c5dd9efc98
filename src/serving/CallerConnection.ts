import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionState } from '../common/requests/ConnectionLimit.js';

/** One connection of a caller. */
export class CallerConnection implements ConnectionState {
  readonly address: string;

  activeAt: number;

  private waiting = 0;

  /** Time of {@link closeAfterResponse}, on the clock, in ms. */
  closingSince = Infinity;

  /** Time at which the last response was handed over after that, on the clock, in ms. */
  finishedAt = Infinity;

  private closing = false;

  private paused = false;

  private readonly requests = new Map<ServerResponse, () => void>();

  /**
   * @param socket - accepted connection
   * @param now - time of its acceptance, on the clock, in ms
   */
  constructor(
    readonly socket: Socket,
    now: number,
  ) {
    this.address = socket.remoteAddress ?? '';
    this.activeAt = now;
    // Node.js resumes a connection by itself, for example when a response is complete.
    socket.on('resume', () => {
      if (this.paused) socket.pause();
    });
  }

  get requestsRunning(): number {
    return this.requests.size;
  }

  get awaitingClient(): number {
    return this.waiting;
  }

  /** Called when a request begins to wait for the client. */
  beginWaiting(): void {
    this.waiting += 1;
  }

  endWaiting(): void {
    this.waiting -= 1;
  }

  /** Whether nothing more is read and the connection is closed after its last response. */
  get isClosing(): boolean {
    return this.closing;
  }

  /** Whether the connection is not read at present. */
  get isPaused(): boolean {
    return this.paused;
  }

  /**
   * @param response - response to a request that has arrived
   * @param now - time, on the clock, in ms
   * @param onEnded - called once when the response is complete or the connection closed
   */
  addRequest(response: ServerResponse, now: number, onEnded: () => void): void {
    this.activeAt = now;
    this.requests.set(response, onEnded);
    response.once('close', () => this.endRequest(response));
  }

  /** Ends all requests after the connection was closed. */
  endRequests(): void {
    // Node.js reports no end of responses that wait for an earlier one of their connection.
    [...this.requests.keys()].forEach((response) => this.endRequest(response));
  }

  /** Stops reading until {@link resume} is called. */
  pause(): void {
    this.paused = true;
    this.socket.pause();
  }

  resume(): void {
    if (this.closing || !this.paused) return;
    this.paused = false;
    this.socket.resume();
  }

  /**
   * Reads nothing more, and closes the connection some time after the response that is due: closing it
   * at once, with bytes that were not read, would make the kernel discard the response at the client.
   * @param now - returns the time, on the clock, in ms
   */
  closeAfterResponse(now: () => number): void {
    if (this.closing) return;
    this.closing = true;
    this.closingSince = now();
    this.pause();
    const finish = () => {
      this.finishedAt = Math.min(this.finishedAt, now());
      this.socket.end();
    };
    // Node.js calls this when the last response was handed over, and would close immediately.
    Object.assign(this.socket, { destroySoon: finish });
    if (this.requests.size === 0) finish();
  }

  /**
   * Consumes a body without asking for more of it: Node.js would resume the connection for each chunk.
   * @param message - request whose body has begun to arrive
   */
  readPassively(message: IncomingMessage): void {
    Object.assign(message, { _read: () => undefined });
  }

  private endRequest(response: ServerResponse): void {
    const onEnded = this.requests.get(response);
    this.requests.delete(response);
    onEnded?.();
  }
}
