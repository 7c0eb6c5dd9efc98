/** Events and disposal. */

/** Something that holds resources until it is disposed of. */
export interface Disposable {
  /** Frees the resources. Calling it again does nothing. */
  dispose(): void;
}

/** Subscribes a listener; disposing of the answer removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;
