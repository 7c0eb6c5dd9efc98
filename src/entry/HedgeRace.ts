/** Runs a second attempt beside a slow one and takes the first answer. */
import type { SentAttempt } from './SentAttempt.js';
import type { AttemptEnd } from './Types.js';

/** An attempt and its end. */
export interface EndedAttempt {
  readonly attempt: SentAttempt;
  readonly end: AttemptEnd;
}

/**
 * Follows an idempotent attempt. If it gives no sign within the delay, a second one is started; the
 * first of the two that gives a chunk or a result is followed to its end and the other is cancelled.
 * @param first - running attempt
 * @param delayMs - time after which a second attempt is started
 * @param startSecond - starts it on another server, or gives null if that is not allowed
 * @returns the attempt that won, or the last one to end if both gave no result
 */
export async function raceWithHedge(
  first: SentAttempt,
  delayMs: number,
  startSecond: () => SentAttempt | null,
): Promise<EndedAttempt> {
  const isSlow = await isSlower(first, delayMs);
  const second = isSlow ? startSecond() : null;
  if (!second) return ended(first);
  const leader = await Promise.race([
    signOf(first).then(() => first),
    signOf(second).then(() => second),
  ]);
  const other = leader === first ? second : first;
  if (leader.streaming) {
    other.cancel();
    return ended(leader);
  }
  const result = await ended(leader);
  if (result.end.kind !== 'result') return ended(other);
  other.cancel();
  return result;
}

/** @returns true if the attempt gives no sign within the delay. */
function isSlower(attempt: SentAttempt, delayMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), delayMs);
    signOf(attempt)
      .finally(() => {
        clearTimeout(timer);
        resolve(false);
      })
      .catch(() => undefined);
  });
}

/** Resolves at the first chunk or at the end. */
function signOf(attempt: SentAttempt): Promise<unknown> {
  return Promise.race([attempt.firstChunk, attempt.end]);
}

async function ended(attempt: SentAttempt): Promise<EndedAttempt> {
  return { attempt, end: await attempt.end };
}
