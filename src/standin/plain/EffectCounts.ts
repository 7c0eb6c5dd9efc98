import type { Counter } from '../Types.js';

/** Effects of a plain service per operation and idempotency key. Effects are never deduplicated. */
export class EffectCounts {
  private readonly byOperation: Record<string, number> = {};

  private readonly byKey: Record<string, number> = {};

  /**
   * Records one effect.
   * @param operation - operation that took effect
   * @param label - idempotency key, or null if the call had none
   */
  add(operation: string, label: string | null): void {
    this.byOperation[operation] = (this.byOperation[operation] ?? 0) + 1;
    if (label === null) return;
    const key = `${operation} ${label}`;
    this.byKey[key] = (this.byKey[key] ?? 0) + 1;
  }

  /** @returns effects per operation, and per operation and key. */
  counters(): Record<string, Counter> {
    return { effects: this.byOperation, effectsByKey: this.byKey };
  }
}
