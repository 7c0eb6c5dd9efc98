import type { IncomingMessage, ServerResponse } from 'node:http';
import { CALLER_ERROR_STATUS, type CallerError } from '../common/protocol/CallerError.js';
import { ChunkRelay } from './ChunkRelay.js';
import { sendJson } from './HttpBody.js';
import type { Failure, RequestEnd } from './Types.js';

const EVENT_STREAM = 'text/event-stream';
const MS_PER_SECOND = 1000;

/** Response to one caller: JSON, or server-sent events if the caller accepts them. */
export class CallerResponse {
  private readonly streaming: boolean;

  private readonly chunks = new ChunkRelay((offset, text) =>
    this.writeEvent('chunk', { offset, text }),
  );

  constructor(
    request: IncomingMessage,
    private readonly response: ServerResponse,
  ) {
    this.streaming = (request.headers.accept ?? '').includes(EVENT_STREAM);
  }

  /** Calls the listener if the connection closes before the response was sent. */
  onDisconnect(listener: () => void): void {
    this.response.on('close', () => {
      if (!this.response.writableFinished) listener();
    });
  }

  /** Sends the `accepted` event to a streaming caller. */
  sendAccepted(requestId: string): void {
    if (!this.streaming) return;
    this.response.writeHead(200, { 'content-type': EVENT_STREAM, 'cache-control': 'no-store' });
    this.writeEvent('accepted', { requestId });
  }

  /** Sends a generated chunk to a streaming caller; chunks that were sent before are left out. */
  sendChunk(offset: number, text: string): void {
    if (this.streaming) this.chunks.relay(offset, text);
  }

  /** Sends the result or the error and ends the response. */
  sendEnd(requestId: string, end: RequestEnd): void {
    if (!end.ok) {
      this.sendError(end.failure, requestId);
      return;
    }
    const stages = end.stages.map(({ stage, usage, replayed }) => ({ stage, usage, replayed }));
    const body = { requestId, output: end.output, stages };
    if (this.streaming) this.writeFinalEvent('result', body);
    else sendJson(this.response, 200, body);
  }

  /** Sends an error and ends the response; as JSON unless the event stream has started. */
  sendError(failure: Failure, requestId?: string): void {
    const { kind, outcome, message, retryAfterMs } = failure;
    const body: CallerError = { error: { kind, outcome, message, requestId, retryAfterMs } };
    if (this.response.headersSent) {
      this.writeFinalEvent('error', body);
      return;
    }
    if (retryAfterMs !== undefined && !this.response.destroyed) {
      this.response.setHeader('retry-after', Math.ceil(retryAfterMs / MS_PER_SECOND));
    }
    sendJson(this.response, CALLER_ERROR_STATUS[kind], body);
  }

  private writeFinalEvent(name: string, data: unknown): void {
    this.writeEvent(name, data);
    this.response.end();
  }

  private writeEvent(name: string, data: unknown): void {
    if (this.response.destroyed) return;
    this.response.write(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
  }
}
