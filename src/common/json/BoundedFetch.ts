import { MAX_BODY_BYTES, readBoundedText } from '../BoundedBody.js';
import { PAYLOAD_BOUNDS, parseJson } from './BoundedJson.js';

/** Response of a peer whose body has been read. */
export interface BoundedResponse {
  readonly ok: boolean;
  readonly status: number;
  json(): Promise<unknown>;
}

/**
 * `fetch` for clients of other processes, with a bounded body.
 * @param url - URL of the call
 * @param options - options of `fetch`
 * @returns response
 * @throws if the call fails or the body exceeds its bounds
 */
export async function fetchBounded(
  url: URL | string,
  options?: RequestInit,
): Promise<BoundedResponse> {
  const response = await fetch(url, options);
  const { ok, status, body } = response;
  const text = body ? await readBoundedText(body, MAX_BODY_BYTES) : '';
  return { ok, status, json: async () => parseJson(text, PAYLOAD_BOUNDS) };
}
