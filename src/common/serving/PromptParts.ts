import { createHash } from 'node:crypto';

/** Length up to which ids of parts are kept as they are, in characters. */
const MAX_ID_LENGTH = 24;

/**
 * Length from which on V8 does not copy a part of a text, in characters: the part refers to the whole
 * text and keeps it in memory.
 */
const MIN_SLICE_LENGTH = 13;

/**
 * Ids of prompt parts are remembered long after their requests. Callers choose them, and they are cut
 * out of headers that are a thousand times as long.
 * @param text - id as the caller or a peer names it
 * @returns id of bounded length that refers to no other text; that of such an id is the id itself
 */
export function partIdOf(text: string): string {
  if (text.length < MIN_SLICE_LENGTH) return text;
  if (text.length > MAX_ID_LENGTH) {
    return createHash('sha256')
      .update(text, 'utf8')
      .digest()
      .toString('hex', 0, MAX_ID_LENGTH / 2);
  }
  return Buffer.from(text, 'utf8').toString('utf8');
}
