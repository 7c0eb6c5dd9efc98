/** Reads response bodies up to a limit. */

/** Largest body that is read as a whole, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/**
 * @param body - bytes of the response
 * @param maxBytes - most bytes to read
 * @returns the body as text
 * @throws if the body is larger; the rest is not read and the connection is closed
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > maxBytes) throw new Error(`response body exceeds ${maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
