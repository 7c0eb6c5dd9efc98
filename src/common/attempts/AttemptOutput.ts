import type { Disposable } from '../events/Types.js';
import type { Chunk, AttemptOutcome } from './Types.js';

/**
 * Output of one attempt: chunks by offset and the final outcome. The backend call appends to it and
 * connections read from it directly, not through the attempt actor.
 */
export class AttemptOutput {
  /** Chunks received so far; the index is the offset. */
  readonly chunks: Chunk[] = [];

  private readonly listeners = new Set<() => void>();

  private finalOutcome: AttemptOutcome | null = null;

  /** @param requestId - request that started the attempt; undefined if none was started here */
  constructor(readonly requestId?: string) {}

  /** How the attempt ended; null until it has ended. */
  get outcome(): AttemptOutcome | null {
    return this.finalOutcome;
  }

  /**
   * Appends a chunk. Chunks already received are ignored, because a resumed backend stream may
   * repeat them, and so are chunks after the outcome.
   * @param offset - index of the chunk, from 0
   * @param chunk - text and its number of tokens
   * @returns false if chunks before this one are missing; the chunk is then not appended
   */
  append(offset: number, chunk: Chunk): boolean {
    if (this.finalOutcome || offset < this.chunks.length) return true;
    if (offset > this.chunks.length) return false;
    this.chunks.push(chunk);
    this.notify();
    return true;
  }

  /**
   * Sets the outcome. Only the first call has an effect.
   * @param outcome - how the attempt ended
   */
  finish(outcome: AttemptOutcome): void {
    if (this.finalOutcome) return;
    this.finalOutcome = outcome;
    this.notify();
  }

  /**
   * Subscribes to changes of the output.
   * @param listener - called after each chunk and after the outcome
   * @returns subscription; disposing of it removes the listener
   */
  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}
