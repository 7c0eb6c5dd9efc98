import { Emitter } from '../common/events/Emitter.js';

/**
 * Newest era of the store that this process has heard of, from the store or from a peer. A read that
 * waits for changes may not notice a restore, so whoever does notices it for all followers.
 */
export class StoreEra {
  private newest = 0;

  private readonly raisedEmitter = new Emitter<number>();

  /** Fired with the new era when the store was restored. */
  readonly onRaised = this.raisedEmitter.event;

  /** Newest era; 0 if the store names none. */
  get current(): number {
    return this.newest;
  }

  /** Records the era of a response or of a peer; an earlier one is ignored. */
  observe(era: number): void {
    if (era <= this.newest) return;
    this.newest = era;
    this.raisedEmitter.fire(era);
  }
}
