import { SeededRandom } from '../common/time/SeededRandom.js';
import { Faults } from './Faults.js';

/** Faults of one service and the random choices that they need. */
export class FaultState {
  private readonly random: SeededRandom;

  /**
   * @param current - faults at the start
   * @param seed - seed of the choices
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
   * @param change - fields to change; the others stay
   * @returns all faults, or the reason why the change is not accepted
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
   * @param share - probability, 0 to 1
   * @returns true with this probability
   */
  chance(share: number): boolean {
    return share > 0 && this.random.next() < share;
  }
}
