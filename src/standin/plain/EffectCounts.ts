import type { Counter } from '../Types.js';

/**
 * Counts the effects of a plain service per operation and idempotency key. Calls with the same key
 * are not deduplicated, so that tests can detect operations that ran twice.
 */
export class EffectCounts {
  private readonly byOperation: Record<string, number> = {};

  private readonly byKey: Record<string, number> = {};

  /**
   * Records an effect.
   * @param operation - name of the operation
   * @param idempotencyKey - idempotency key, or null if the call had none
   */
  add(operation: string, idempotencyKey: string | null): void {
    this.byOperation[operation] = (this.byOperation[operation] ?? 0) + 1;
    if (idempotencyKey === null) return;
    const key = `${operation} ${idempotencyKey}`;
    this.byKey[key] = (this.byKey[key] ?? 0) + 1;
  }

  /** @returns number of effects per operation, and per operation and key */
  counters(): Record<string, Counter> {
    return { effects: this.byOperation, effectsByKey: this.byKey };
  }
}
