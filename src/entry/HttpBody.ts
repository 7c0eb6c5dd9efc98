/** Reads request bodies and writes answers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Outcome of reading a body. */
export type BodyResult =
  | { readonly ok: true; readonly text: string }
  | { readonly ok: false; readonly reason: 'too-large' | 'aborted' };

/**
 * A too large body is read on and dropped up to this multiple of the limit. A connection that is
 * closed while the caller still sends is reset, and the caller would not see the answer.
 */
const DROPPED_FACTOR = 8;

/**
 * Reads a body of limited size. The rest of a larger one is not kept.
 * @param request - request to read
 * @param maxBytes - largest size
 * @returns text of the body
 */
export function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else chunks.length = 0;
      if (bytes > DROPPED_FACTOR * maxBytes) resolve({ ok: false, reason: 'too-large' });
    });
    request.on('end', () => {
      if (bytes > maxBytes) resolve({ ok: false, reason: 'too-large' });
      else resolve({ ok: true, text: Buffer.concat(chunks).toString('utf8') });
    });
    request.on('error', () => resolve({ ok: false, reason: 'aborted' }));
    request.on('close', () => resolve({ ok: false, reason: 'aborted' }));
  });
}

/**
 * Answers with JSON.
 * @param response - response to write
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
