import type { ServerResponse } from 'node:http';
import { endToEndHeaders } from './HttpHeaders.js';
import type { ServingProtocol } from './Types.js';

/** Why the system itself ended a request. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Time after which the request can be served, in ms. */
  readonly retryAfterMs?: number;
}

/** Statuses that promise that the request has not run. */
export const NOT_RUN_STATUS = 503;
/** Statuses that promise nothing. */
export const UNKNOWN_STATUS = 502;
export const TIMED_OUT_STATUS = 504;

const MS_PER_SECOND = 1000;

/** The answer to one caller: written once, and never made to look whole when it is not. */
export class CallerResponse {
  private isStarted = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly protocol: ServingProtocol,
    private readonly attemptId: string | undefined,
    private readonly isStopping: () => boolean,
  ) {
    response.sendDate = false;
  }

  /** True once a part of the answer was written. */
  get hasStarted(): boolean {
    return this.isStarted;
  }

  get isFinished(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Answers in the system's own name. */
  refuse({ status, reason, retryAfterMs }: Refusal): void {
    if (this.isFinished) return;
    if (this.isStarted) {
      this.cut();
      return;
    }
    this.isStarted = true;
    const body = Buffer.from(`${JSON.stringify({ error: reason })}\n`);
    const headers = this.protocol.answerHeaders(this.attemptId);
    headers.push('Content-Type', 'application/json', 'Content-Length', String(body.length));
    if (retryAfterMs !== undefined) {
      headers.push('Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3));
    }
    this.writeHead(status, headers);
    this.response.end(body);
  }

  /** Passes on a whole answer of a backend server. */
  pass(status: number, serverHeaders: readonly string[], body: Buffer): void {
    if (this.isFinished) return;
    if (this.isStarted) {
      this.cut();
      return;
    }
    this.isStarted = true;
    const headers = endToEndHeaders(serverHeaders, CONTENT_LENGTH);
    headers.push('Content-Length', String(body.length));
    this.writeHead(status, headers);
    this.response.end(body);
  }

  /** Starts an answer whose body follows in parts. */
  begin(status: number, serverHeaders: readonly string[]): void {
    if (this.isStarted || this.isFinished) return;
    this.isStarted = true;
    this.writeHead(status, endToEndHeaders(serverHeaders, CONTENT_LENGTH));
  }

  /** @returns false if the caller reads too slowly; {@link onDrain} tells when to go on */
  write(chunk: Buffer): boolean {
    if (this.isFinished) return true;
    return this.response.write(chunk);
  }

  onDrain(listener: () => void): void {
    this.response.once('drain', listener);
  }

  /** Ends a whole answer. */
  end(): void {
    if (!this.isFinished) this.response.end();
  }

  /** Closes the connection, so that the answer does not look whole. */
  cut(): void {
    this.response.destroy();
  }

  private writeHead(status: number, headers: string[]): void {
    if (this.isStopping()) headers.push('Connection', 'close');
    this.response.writeHead(status, headers);
  }
}

const CONTENT_LENGTH: ReadonlySet<string> = new Set(['content-length']);
