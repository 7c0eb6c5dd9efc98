import type { Disposable } from '../common/events/Types.js';
import type { Timers } from './Types.js';

/** Timers of Node.js. A pending timer keeps the process alive until it fires or is disposed of. */
export class SystemTimers implements Timers {
  after(delayMs: number, action: () => void): Disposable {
    const timer = setTimeout(action, delayMs);
    return { dispose: () => clearTimeout(timer) };
  }
}
