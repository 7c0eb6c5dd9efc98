/** Reads request bodies and writes answers. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Outcome of reading a body. */
export type BodyResult =
  | { readonly ok: true; readonly text: string }
  | { readonly ok: false; readonly reason: 'too-large' | 'aborted' };

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
      if (bytes > maxBytes) {
        chunks.length = 0;
        resolve({ ok: false, reason: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve({ ok: true, text: Buffer.concat(chunks).toString('utf8') }));
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
