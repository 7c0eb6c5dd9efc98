/** Tells whether a failed HTTP call was certainly not sent. */

/** System calls that fail before any byte of a call was sent. */
const CONNECTING_CALLS: ReadonlySet<unknown> = new Set(['connect', 'getaddrinfo']);

/**
 * The code alone does not tell: an established connection can also end with EHOSTUNREACH.
 * @param error - error thrown by undici or Node.js
 * @returns true if the connection was never made
 */
export function isConnectError(error: unknown): boolean {
  // Node.js gives one error per address tried if a host name has several.
  if (error instanceof AggregateError) return error.errors.every(isConnectError);
  const { code, syscall } = error as { code?: unknown; syscall?: unknown };
  return CONNECTING_CALLS.has(syscall) || code === 'UND_ERR_CONNECT_TIMEOUT';
}
