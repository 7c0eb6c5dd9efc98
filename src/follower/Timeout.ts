/** Time-outs for calls to other processes. */
import type { Timers } from './Types.js';

/**
 * Adds a time-out to a call that may never settle.
 * @param call - call in progress
 * @param timers - timers of the calling process
 * @param timeoutMs - time-out in milliseconds
 * @returns outcome of the call; rejects once the time-out has passed
 */
export function withTimeout<T>(call: Promise<T>, timers: Timers, timeoutMs: number): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const timer = timers.after(timeoutMs, () => {
      reject(new Error(`no answer within ${timeoutMs} ms`));
    });
    call.then(resolve, reject).finally(() => timer.dispose());
  });
}
