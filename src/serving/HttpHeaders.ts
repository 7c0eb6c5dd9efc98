/** Helpers for raw HTTP headers. */

/** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/**
 * @param headers - names and values alternating
 * @param name - lowercase name
 * @returns first value of the header; undefined if the header is missing
 */
export function headerValue(headers: readonly string[], name: string): string | undefined {
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/**
 * @param headers - names and values alternating
 * @param dropped - lowercase names of further headers to leave out
 * @returns end-to-end headers: all but the hop-by-hop headers and the dropped ones
 */
export function endToEndHeaders(
  headers: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = new Set(
    (headerValue(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!;
    const key = name.toLowerCase();
    const isEndToEnd =
      !CONNECTION_HEADERS.has(key) && !connectionOptions.has(key) && !dropped.has(key);
    if (isEndToEnd) kept.push(name, headers[index + 1]!);
  }
  return kept;
}

/** @returns bytes of the body according to its length; 0 without one, as for a chunked body */
export function announcedBytes(headers: readonly string[]): number {
  return Number(headerValue(headers, 'content-length') ?? 0);
}

/** @returns whether a body follows the headers of a request */
export function hasBody(headers: readonly string[]): boolean {
  return headerValue(headers, 'transfer-encoding') !== undefined || announcedBytes(headers) > 0;
}
