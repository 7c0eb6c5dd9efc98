import type { Disposable, Event } from './Types.js';

/** Source of one kind of event. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>();

  /** Subscribes to the event. */
  readonly event: Event<T> = (listener) => {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  };

  /**
   * Calls every listener in the order of subscription.
   * @param value - value of the event
   */
  fire(value: T): void {
    for (const listener of [...this.listeners]) listener(value);
  }

  dispose(): void {
    this.listeners.clear();
  }
}
