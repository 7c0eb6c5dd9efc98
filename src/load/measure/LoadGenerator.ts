/** Open-loop and closed-loop load generators for measurements. */
import { setTimeout as sleep } from 'node:timers/promises';

const MS_PER_SECOND = 1000;

/** Number of unique texts created by this process. */
let uniqueTextCount = 0;

/** @returns text that is unique among the requests of this process */
export function uniqueText(): string {
  uniqueTextCount += 1;
  return `${process.pid}-${uniqueTextCount}`;
}

/**
 * Starts calls at a fixed rate, independent of their duration, and waits until all have finished.
 * @param ratePerSecond - calls per second
 * @param seconds - time during which calls are started
 * @param call - starts one call
 * @returns number of calls started
 */
export async function openLoop(
  ratePerSecond: number,
  seconds: number,
  call: () => Promise<unknown>,
): Promise<number> {
  const total = Math.round(ratePerSecond * seconds);
  const startedAt = performance.now();
  const running: Promise<unknown>[] = [];
  while (running.length < total) {
    const elapsed = (performance.now() - startedAt) / MS_PER_SECOND;
    const due = Math.min(total, Math.floor(elapsed * ratePerSecond) + 1);
    while (running.length < due) running.push(call());
    await sleep(1);
  }
  await Promise.all(running);
  return total;
}

/**
 * Runs calls with a fixed concurrency and waits until all have finished.
 * @param concurrency - calls that run at the same time
 * @param total - total number of calls
 * @param call - starts one call
 */
export async function closedLoop(
  concurrency: number,
  total: number,
  call: () => Promise<unknown>,
): Promise<void> {
  let started = 0;
  const worker = async (): Promise<void> => {
    while (started < total) {
      started += 1;
      await call();
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
}
