/** Digests of texts and of JSON values. */
import { createHash } from 'node:crypto';

/**
 * @param text - text to digest, as UTF-8
 * @returns SHA-256, 64 hexadecimal digits
 */
export function sha256(text: string): string {
  return createHash('sha256').update(text, 'utf8').digest('hex');
}

/**
 * Writes a JSON value with object keys in sorted order, so that equal values give equal texts.
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
