import { createHash } from 'node:crypto';
import type { CallerRequest } from './CallerRequest.js';
import { headerValue } from './HttpHeaders.js';
import type { RequestAttributes } from './Types.js';

/** Bytes of a fingerprint, at which requests that differ have the same one with negligible odds. */
const FINGERPRINT_BYTES = 9;

/** Fingerprints of the requests that are running. */
const fingerprints = new WeakMap<RequestAttributes, string>();

/** What a request asks for, without what differs between the attempts of its caller. */
export type RequestContent = Pick<
  CallerRequest,
  'account' | 'attributes' | 'body' | 'headers' | 'method' | 'target'
>;

/**
 * Identifies a request that its caller repeats, each time with another attempt id and deadline.
 * @param request - request of a caller
 * @returns text that is the same in all processes for the same account, method, host, path, prompt and
 *   body
 */
export function fingerprintOf(request: RequestContent): string {
  const known = fingerprints.get(request.attributes);
  if (known !== undefined) return known;
  const { account, attributes, body, headers, method, target } = request;
  const host = headerValue(headers, 'host')?.toLowerCase() ?? '';
  const promptParts = attributes.promptParts.map(({ id }) => id);
  const identity = JSON.stringify([account?.name ?? '', method, host, target, promptParts]);
  const digest = createHash('sha256').update(identity).update('\n').update(body).digest();
  const fingerprint = digest.subarray(0, FINGERPRINT_BYTES).toString('base64url');
  fingerprints.set(attributes, fingerprint);
  return fingerprint;
}
