import type { Disposable } from '../events/Types.js';
import type { Chunk, Outcome } from './Types.js';

/**
 * Output of one attempt: chunks by offset and the final outcome. The backend call appends to it and
 * connections read from it, without passing the gate's actor.
 */
export class AttemptStream {
  readonly chunks: Chunk[] = [];

  private readonly listeners = new Set<() => void>();

  private ending: Outcome | null = null;

  /** @param requestId - request that started the attempt; undefined if it was not started here */
  constructor(readonly requestId?: string) {}

  /** @returns how the attempt ended; null while it goes on. */
  get outcome(): Outcome | null {
    return this.ending;
  }

  /**
   * Adds a chunk. A chunk that is already held is ignored, because a resumed backend stream may
   * repeat chunks.
   * @param offset - number of the chunk, from 0
   * @param chunk - text and its number of tokens
   * @returns false if chunks are missing before this one
   */
  append(offset: number, chunk: Chunk): boolean {
    if (this.ending || offset < this.chunks.length) return true;
    if (offset > this.chunks.length) return false;
    this.chunks.push(chunk);
    this.notify();
    return true;
  }

  /**
   * Sets the outcome. Only the first call has an effect.
   * @param outcome - how the attempt ended
   */
  finish(outcome: Outcome): void {
    if (this.ending) return;
    this.ending = outcome;
    this.notify();
  }

  /**
   * @param listener - called after each chunk and after the outcome
   * @returns disposes of the subscription
   */
  subscribe(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
