import type { Disposable, Event } from './Types.js';

/** Emits events of one type to subscribed listeners. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>();

  /** Subscribes to the event. */
  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  /**
   * Calls every listener, in the order of subscription.
   * @param value - event value passed to the listeners
   */
  fire(value: T): void {
    for (const listener of [...this.listeners]) listener(value);
  }

  /** Removes all listeners. */
  dispose(): void {
    this.listeners.clear();
  }
}
