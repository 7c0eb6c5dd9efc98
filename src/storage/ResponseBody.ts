/** Validates JSON bodies of platform services. */
import { z } from 'zod';
import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import type { PlatformResult } from './Types.js';

/** A row in bodies of the table service. */
export const RowBody = z.object({
  table: z.string(),
  key: z.string(),
  version: z.number().int().nonnegative(),
  value: z.unknown().transform((value) => value ?? null),
});

/** Body of every successful response of the table service. */
export const RowsBody = z.object({ rows: z.array(RowBody) });

/** Body of a 409 response of the table service: the row whose check failed. */
export const ConflictBody = z.object({ current: RowBody });

/**
 * Parses and validates a body.
 * @param schema - schema of the body
 * @param text - JSON text
 * @param errorKind - kind of error for an invalid body: `ambiguous` for writes
 * @returns the validated value or the error
 */
export function parseBody<S extends z.ZodType>(
  schema: S,
  text: string,
  errorKind: 'ambiguous' | 'unavailable',
): PlatformResult<z.infer<S>> {
  let json: unknown;
  try {
    json = parseJson(text, PAYLOAD_BOUNDS);
  } catch {
    return { ok: false, error: { kind: errorKind, message: 'response body is not JSON' } };
  }
  const parsed = schema.safeParse(json);
  if (parsed.success) return { ok: true, value: parsed.data };
  return {
    ok: false,
    error: { kind: errorKind, message: 'response body does not match the expected schema' },
  };
}
