import type { Disposable } from './Types.js';

/**
 * Cancellation signal for work whose result is no longer needed. Has the function of an
 * `AbortSignal` at a fraction of its processor time, which matters for work of a few milliseconds.
 */
export class Cancellation implements Disposable {
  private readonly listeners = new Set<() => void>();

  private readonly parentSubscription: Disposable | undefined;

  private cancelled = false;

  /** @param parent - cancellation that also cancels this one */
  constructor(parent?: Cancellation) {
    this.parentSubscription = parent?.onCancelled(() => this.cancel());
  }

  /** Whether {@link cancel} was called on this cancellation or its parent. */
  get isCancelled(): boolean {
    return this.cancelled;
  }

  /**
   * Subscribes to the cancellation.
   * @param listener - called on cancellation, or immediately if already cancelled
   * @returns subscription; disposing of it removes the listener
   */
  onCancelled(listener: () => void): Disposable {
    if (this.cancelled) listener();
    else this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Cancels and calls all listeners. Later calls have no effect. */
  cancel(): void {
    if (this.cancelled) return;
    this.cancelled = true;
    const listeners = [...this.listeners];
    this.dispose();
    listeners.forEach((listener) => listener());
  }

  /** Removes all listeners and detaches from the parent, without cancelling. */
  dispose(): void {
    this.listeners.clear();
    this.parentSubscription?.dispose();
  }
}
