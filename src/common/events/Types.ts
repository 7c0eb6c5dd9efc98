/** Event subscription and resource disposal. */

/** An object that holds resources until it is disposed of. */
export interface Disposable {
  /** Frees the resources. Calling it again does nothing. */
  dispose(): void;
}

/** Subscribes a listener; disposing of the returned object removes the listener. */
export type Event<T> = (listener: (value: T) => void) => Disposable;
