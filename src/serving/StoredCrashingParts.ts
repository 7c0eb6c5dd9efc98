import { z } from 'zod';
import type { CrashingParts } from '../common/serving/CrashingParts.js';
import type { Clock } from '../common/time/Types.js';
import type { StoredCauses } from './CrashCauseTable.js';

/** Row of a prompt part that crashes servers, with the evidence against it. */
const StoredPart = z.object({
  suspects: z.array(z.string()),
  crashes: z.array(
    z.object({
      server: z.string(),
      /** Unix time, in ms. */
      at: z.number(),
      /** Older versions write them; they are the suspects. */
      parts: z.array(z.string()).optional(),
    }),
  ),
  /** Unix time of the last complete response to any request, in ms; older versions write none. */
  lastCompletionAt: z.number().optional(),
});
type StoredPart = z.infer<typeof StoredPart>;

/**
 * @param crashingParts - prompt parts that crash servers
 * @param clock - time source
 * @returns their rows in the store; the keys are the ids of the parts
 */
export function storedCrashingParts(crashingParts: CrashingParts, clock: Clock): StoredCauses {
  return {
    noun: 'prompt part',
    keyPrefix: '',
    onFound: (listener) => crashingParts.onFound(({ part }) => listener(part)),
    onCleared: (listener) => crashingParts.onCleared(({ part }) => listener(part)),
    signatureOf: (part) => crashingParts.parts.get(part)?.suspects.join(),
    createRow: (part): StoredPart => {
      const now = clock.wallTime();
      const { crashes, lastCompletionAgeMs } = crashingParts.evidenceAgainst(part);
      return {
        suspects: [...(crashingParts.parts.get(part)?.suspects ?? [])],
        crashes: crashes.map(({ server, ageMs }) => ({ server, at: now - ageMs })),
        ...(lastCompletionAgeMs !== undefined && { lastCompletionAt: now - lastCompletionAgeMs }),
      };
    },
    readRow: (content) => {
      const row = StoredPart.safeParse(content);
      if (!row.success) return undefined;
      const now = clock.wallTime();
      // The clocks of processes differ.
      const ageMs = (at: number) => Math.max(0, now - at);
      const { suspects, crashes, lastCompletionAt } = row.data;
      crashingParts.merge({
        crashes: crashes.map(({ server, at, parts = suspects }) => ({
          server,
          parts,
          ageMs: ageMs(at),
        })),
        completed: {},
        ...(lastCompletionAt !== undefined && { lastCompletionAgeMs: ageMs(lastCompletionAt) }),
      });
      return suspects.join();
    },
    clear: (part) => crashingParts.recordCompletion([part]),
  };
}
