import { EventEmitter } from 'node:events';
import type { Dispatcher } from 'undici';
import { isConnectError } from '../common/ConnectError.js';
import { ATTEMPT_PATH, SILENCE_TIMEOUT_MS, type Frame } from '../common/protocol/Attempt.js';
import { FrameReader } from './FrameReader.js';
import type { AttemptEnd } from './Types.js';

/** Characters of an agent's error body that are kept for the message. */
const MAX_ERROR_LENGTH = 200;

/**
 * How one connection of an attempt ended.
 * - `final`: a final frame was received.
 * - `unconnected`: the connection could not be established.
 * - `rejected`: the agent answered with a status other than 200 and below 500.
 * - `broken`: the connection ended or was aborted before a final frame.
 */
export type ConnectionEnd =
  | { readonly kind: 'final'; readonly end: AttemptEnd }
  | { readonly kind: 'unconnected'; readonly message: string }
  | { readonly kind: 'rejected'; readonly message: string }
  | { readonly kind: 'broken'; readonly message: string };

/** HTTP request that carries an attempt. */
export interface ConnectionRequest {
  /** `ip:port` of the agent. */
  readonly address: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Sends an attempt on one HTTP connection and reads the frames of the response. */
export class AttemptConnection {
  private readonly abortEmitter = new EventEmitter();

  private readonly reader = new FrameReader();

  private silenceTimer: NodeJS.Timeout | undefined;

  private resolveEnd: ((end: ConnectionEnd) => void) | null = null;

  /**
   * @param dispatcher - undici connection pool or single connection
   * @param onFrame - called with each frame; returns the end of the connection or null to continue
   * @param release - called when the connection is closed or free for reuse
   */
  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly onFrame: (frame: Frame) => ConnectionEnd | null,
    private readonly release: () => void,
  ) {}

  /** @returns how the connection ended. */
  run(request: ConnectionRequest): Promise<ConnectionEnd> {
    return new Promise((resolve) => {
      this.resolveEnd = resolve;
      this.silenceTimer = setTimeout(
        () => this.abort(`no frame for ${SILENCE_TIMEOUT_MS} ms`),
        SILENCE_TIMEOUT_MS,
      );
      this.sendAndReceive(request).catch((error: unknown) => {
        this.finish(describeError(error));
        this.cleanUp();
      });
    });
  }

  /** Ends the connection as `broken` and aborts the HTTP request. */
  abort(message: string): void {
    this.finish({ kind: 'broken', message });
    this.abortEmitter.emit('abort');
  }

  private async sendAndReceive(request: ConnectionRequest): Promise<void> {
    const { statusCode, body } = await this.dispatcher.request({
      origin: `http://${request.address}`,
      path: ATTEMPT_PATH,
      method: 'POST',
      headers: { 'content-type': 'application/json', ...request.headers },
      body: request.body,
      // An event emitter, because aborting an AbortSignal would create an exception with a stack
      // trace for every attempt.
      signal: this.abortEmitter,
    });
    body.on('error', (error: unknown) => this.finish(describeError(error)));
    body.on('close', () => this.cleanUp());
    if (statusCode !== 200) {
      const text = (await body.text()).slice(0, MAX_ERROR_LENGTH);
      const message = `agent answered ${statusCode}: ${text}`;
      this.finish({ kind: statusCode < 500 ? 'rejected' : 'broken', message });
      return;
    }
    body.setEncoding('utf8');
    body.on('data', (text: string) => this.handleText(text));
    body.on('end', () => {
      this.finish({ kind: 'broken', message: 'stream ended without a final frame' });
    });
  }

  private handleText(text: string): void {
    if (!this.resolveEnd) return;
    this.silenceTimer?.refresh();
    const frames = this.reader.read(text);
    if (!frames) {
      this.abort('invalid frame');
      return;
    }
    for (const frame of frames) {
      const end = this.onFrame(frame);
      if (!end) continue;
      this.finish(end);
      // After a final frame the rest of the stream is read, so that the connection can be reused.
      if (end.kind !== 'final') this.abortEmitter.emit('abort');
      return;
    }
  }

  private finish(end: ConnectionEnd): void {
    this.resolveEnd?.(end);
    this.resolveEnd = null;
  }

  private cleanUp(): void {
    clearTimeout(this.silenceTimer);
    this.release();
  }
}

function describeError(error: unknown): ConnectionEnd {
  const message = error instanceof Error ? error.message : String(error);
  return { kind: isConnectError(error) ? 'unconnected' : 'broken', message };
}
