/** Hedging: runs a second attempt beside a slow one and uses the first response. */
import type { SentAttempt } from './SentAttempt.js';
import type { AttemptEnd } from './Types.js';

/** An attempt and how it ended. */
export interface EndedAttempt {
  readonly attempt: SentAttempt;
  readonly end: AttemptEnd;
}

/**
 * Waits for the end of an idempotent attempt and hedges it if neither a chunk nor its end arrives
 * within the delay. The first of the two attempts that sends a chunk or a result wins, and the
 * other is cancelled.
 * @param first - running attempt
 * @param delayMs - time after which the hedge is started, in ms
 * @param startHedge - starts the hedge on another server; returns null if none may be started
 * @returns the winner and its end; if neither attempt gave a result, the one that ended last
 */
export async function raceWithHedge(
  first: SentAttempt,
  delayMs: number,
  startHedge: () => SentAttempt | null,
): Promise<EndedAttempt> {
  const isSlow = await isSilentFor(first, delayMs);
  const hedge = isSlow ? startHedge() : null;
  if (!hedge) return whenEnded(first);
  const leader = await Promise.race([
    firstResponseOf(first).then(() => first),
    firstResponseOf(hedge).then(() => hedge),
  ]);
  const other = leader === first ? hedge : first;
  if (leader.streaming) {
    other.cancel();
    return whenEnded(leader);
  }
  const result = await whenEnded(leader);
  if (result.end.kind !== 'result') return whenEnded(other);
  other.cancel();
  return result;
}

/** @returns whether the attempt sends neither a chunk nor its end within the delay, in ms. */
function isSilentFor(attempt: SentAttempt, delayMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(true), delayMs);
    firstResponseOf(attempt)
      .finally(() => {
        clearTimeout(timer);
        resolve(false);
      })
      .catch(() => undefined);
  });
}

/** Resolves at the first chunk, or at the end if there is none. */
function firstResponseOf(attempt: SentAttempt): Promise<unknown> {
  return Promise.race([attempt.firstChunk, attempt.end]);
}

async function whenEnded(attempt: SentAttempt): Promise<EndedAttempt> {
  return { attempt, end: await attempt.end };
}
