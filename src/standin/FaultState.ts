import { SeededRandom } from '../common/time/SeededRandom.js';
import { Faults } from './Faults.js';

/** Faults of one service and the random source that decides which calls they affect. */
export class FaultState {
  private readonly random: SeededRandom;

  /**
   * @param current - faults at the start
   * @param seed - seed of the random source
   */
  constructor(
    private current: Faults,
    seed: number,
  ) {
    this.random = new SeededRandom(seed);
  }

  /** Faults in force. */
  get faults(): Faults {
    return this.current;
  }

  /**
   * Changes some faults.
   * @param change - fields to change; others keep their values
   * @returns all faults, or the reason why the change is invalid
   */
  merge(change: object): { ok: true; faults: Faults } | { ok: false; message: string } {
    const parsed = Faults.safeParse({ ...this.current, ...change });
    if (!parsed.success) {
      return { ok: false, message: parsed.error.issues.map((issue) => issue.message).join('; ') };
    }
    this.current = parsed.data;
    return { ok: true, faults: this.current };
  }

  /**
   * Decides at random whether a fault affects a call.
   * @param share - share of affected calls, 0 to 1
   * @returns true with this probability
   */
  shouldInject(share: number): boolean {
    return share > 0 && this.random.next() < share;
  }
}
