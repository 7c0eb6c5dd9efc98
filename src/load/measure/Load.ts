/** Load for measurements. */
import { setTimeout as sleep } from 'node:timers/promises';

const MS_PER_SECOND = 1000;

/** Number that makes every request of this process unique. */
let requests = 0;

/** @returns text that no other request of this process has */
export function uniqueText(): string {
  requests += 1;
  return `${process.pid}-${requests}`;
}

/**
 * Starts calls at a fixed rate, however long they take, and waits for their ends.
 * @param ratePerSecond - calls a second
 * @param seconds - length of the load
 * @param call - one call
 * @returns number of calls
 */
export async function openLoop(
  ratePerSecond: number,
  seconds: number,
  call: () => Promise<unknown>,
): Promise<number> {
  const wanted = Math.round(ratePerSecond * seconds);
  const startedAt = performance.now();
  const running: Promise<unknown>[] = [];
  while (running.length < wanted) {
    const elapsed = (performance.now() - startedAt) / MS_PER_SECOND;
    const due = Math.min(wanted, Math.floor(elapsed * ratePerSecond) + 1);
    while (running.length < due) running.push(call());
    await sleep(1);
  }
  await Promise.all(running);
  return wanted;
}

/**
 * Keeps a number of calls running.
 * @param concurrency - calls at a time
 * @param total - calls in all
 * @param call - one call
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
