import type { Disposable } from './Types.js';

/**
 * Tells work that its result is no longer wanted. It does what an `AbortSignal` does at a small part
 * of the processor time, which counts for work of a few milliseconds.
 */
export class Cancellation implements Disposable {
  private readonly listeners = new Set<() => void>();

  private readonly parentSubscription: Disposable | undefined;

  private isOver = false;

  /** @param parent - cancels this one as well */
  constructor(parent?: Cancellation) {
    this.parentSubscription = parent?.onCancelled(() => this.cancel());
  }

  get isCancelled(): boolean {
    return this.isOver;
  }

  /** Subscribes to the cancellation; the listener is called at once if it has happened. */
  onCancelled(listener: () => void): Disposable {
    if (this.isOver) listener();
    else this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  cancel(): void {
    if (this.isOver) return;
    this.isOver = true;
    const listeners = [...this.listeners];
    this.dispose();
    listeners.forEach((listener) => listener());
  }

  dispose(): void {
    this.listeners.clear();
    this.parentSubscription?.dispose();
  }
}
