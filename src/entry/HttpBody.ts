/** Reads request bodies and writes JSON responses. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ByteCollector } from '../common/ByteCollector.js';

/** Outcome of reading a body. */
export type BodyResult =
  | { readonly ok: true; readonly text: string }
  | { readonly ok: false; readonly reason: 'too-large' | 'aborted' };

/**
 * A body over the limit is read and discarded up to this multiple of the limit. Closing the
 * connection while the caller still sends would reset it, and the response would be lost.
 */
const MAX_DISCARD_FACTOR = 8;

/**
 * Reads a body of limited size. A larger one is discarded.
 * @param request - request to read
 * @param maxBytes - largest accepted size, in bytes
 * @returns the body as text, or why it was not received
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const body = new ByteCollector();
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) body.append(chunk);
      else body.release();
      if (bytes > MAX_DISCARD_FACTOR * maxBytes) resolve({ ok: false, reason: 'too-large' });
    });
    request.on('end', () => {
      if (bytes > maxBytes) resolve({ ok: false, reason: 'too-large' });
      else resolve({ ok: true, text: body.bytes.toString('utf8') });
    });
    request.on('error', () => resolve({ ok: false, reason: 'aborted' }));
    request.on('close', () => resolve({ ok: false, reason: 'aborted' }));
  });
}

/**
 * Sends a JSON response, unless the response has ended or its connection is closed.
 * @param response - response to write and end
 * @param status - HTTP status
 * @param body - JSON value
 */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  if (response.writableEnded || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
