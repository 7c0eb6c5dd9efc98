import { z } from 'zod';
import type { CrashingRequests } from '../common/serving/CrashingRequests.js';
import { EvidenceId } from '../common/serving/RequestCrashEvidence.js';
import type { Clock } from '../common/time/Types.js';
import type { StoredCauses } from './CrashCauseTable.js';

/** Distinguishes the rows from those of prompt parts, whose ids have no colon. */
const KEY_PREFIX = 'request:';

/** All rows of crashing requests say the same: that the request counts. */
const SIGNATURE = 'crashes';

/** Row of a request that crashes servers, with the evidence against it. */
const StoredRequest = z.object({
  request: EvidenceId,
  crashes: z.array(
    z.object({
      server: EvidenceId,
      /** Unix time, in ms. */
      at: z.number(),
      /** Time from the send to the crash, in ms. */
      sinceSendMs: z.number().min(0),
    }),
  ),
});
type StoredRequest = z.infer<typeof StoredRequest>;

/**
 * @param crashingRequests - requests that crash servers
 * @param clock - time source
 * @returns their rows in the store
 */
export function storedCrashingRequests(
  crashingRequests: CrashingRequests,
  clock: Clock,
): StoredCauses {
  return {
    noun: 'request',
    keyPrefix: KEY_PREFIX,
    onFound: (listener) => crashingRequests.onFound(({ request }) => listener(request)),
    onCleared: (listener) => crashingRequests.onCleared(({ request }) => listener(request)),
    signatureOf: (request) => (crashingRequests.found.has(request) ? SIGNATURE : undefined),
    createRow: (request): StoredRequest => {
      const now = clock.wallTime();
      const { crashes } = crashingRequests.evidenceAgainst(request);
      return {
        request,
        crashes: crashes.map(({ server, ageMs, requests }) => ({
          server,
          at: now - ageMs,
          sinceSendMs: requests[0]?.[1] ?? 0,
        })),
      };
    },
    readRow: (content) => {
      const row = StoredRequest.safeParse(content);
      if (!row.success) return undefined;
      const now = clock.wallTime();
      const { request, crashes } = row.data;
      crashingRequests.merge({
        crashes: crashes.map(({ server, at, sinceSendMs }) => ({
          server,
          // The clocks of processes differ.
          ageMs: Math.max(0, now - at),
          requests: [[request, sinceSendMs]],
        })),
        completed: {},
      });
      return SIGNATURE;
    },
    clear: (request) => crashingRequests.recordCompletion(request),
  };
}
