/** Detects HTTP calls that failed before any byte was sent. */

/** System calls whose failure means that no byte of the HTTP call was sent. */
const CONNECTING_CALLS: ReadonlySet<unknown> = new Set(['connect', 'getaddrinfo']);

/**
 * Whether a call failed because no connection was established. The system call is checked instead
 * of the error code, because an established connection can also fail with EHOSTUNREACH.
 * @param error - error thrown by undici or Node.js
 * @returns true if the connection was never established, so the call was not sent
 */
export function isConnectError(error: unknown): boolean {
  // If a host name resolves to several addresses, Node.js reports one error for each address tried.
  if (error instanceof AggregateError) return error.errors.every(isConnectError);
  const { code, syscall } = error as { code?: unknown; syscall?: unknown };
  return CONNECTING_CALLS.has(syscall) || code === 'UND_ERR_CONNECT_TIMEOUT';
}
