/** SHA-256 digests and canonical JSON. */
import { createHash } from 'node:crypto';

/**
 * Computes the SHA-256 digest of a text.
 * @param text - text to digest, encoded as UTF-8
 * @returns SHA-256, 64 hexadecimal digits
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}

/**
 * Serializes a JSON value with its object keys sorted, so that equal values have equal texts.
 * @param value - JSON value
 * @returns JSON text
 */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, part: unknown) => {
    if (part === null || typeof part !== 'object' || Array.isArray(part)) return part;
    const entries = Object.entries(part).sort(([left], [right]) => (left < right ? -1 : 1));
    return Object.fromEntries(entries);
  });
}
