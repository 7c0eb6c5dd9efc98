/** Time-outs of calls to other processes. */
import type { Timers } from './Types.js';

/**
 * Bounds the time of a call whose other side may never answer.
 * @param call - call under way
 * @param timers - timers
 * @param timeoutMs - time-out in milliseconds
 * @returns outcome of the call; rejects after the time-out
 */
export function withTimeout<T>(call: Promise<T>, timers: Timers, timeoutMs: number): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const timer = timers.after(timeoutMs, () => {
      reject(new Error(`no answer within ${timeoutMs} ms`));
    });
    call.then(resolve, reject).finally(() => timer.dispose());
  });
}
