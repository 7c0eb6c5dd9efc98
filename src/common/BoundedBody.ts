/** Reads response bodies up to a limit. */
import { ByteCollector } from './ByteCollector.js';

/** Largest body that is read as a whole, in bytes. */
export const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Number of parts that a body may have whatever its size, and smallest mean size of the others. */
const MAX_SMALL_PARTS = 4096;
const MIN_MEAN_PART_BYTES = 64;

/**
 * @param body - bytes of the response
 * @param maxBytes - most bytes to read
 * @returns the body
 * @throws if the body is larger or comes in too small parts; the rest is not read and the connection is
 *   closed
 */
export async function readBoundedBytes(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const collector = new ByteCollector();
  let parts = 0;
  for await (const part of body) {
    parts += 1;
    if (collector.length + part.length > maxBytes) {
      throw new Error(`response body exceeds ${maxBytes} bytes`);
    }
    collector.append(part);
    if (parts > MAX_SMALL_PARTS + collector.length / MIN_MEAN_PART_BYTES) {
      throw new Error(`response body has ${parts} parts in ${collector.length} bytes`);
    }
  }
  return collector.bytes;
}

/** Same as {@link readBoundedBytes} for text in UTF-8. */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<string> {
  return (await readBoundedBytes(body, maxBytes)).toString('utf8');
}
