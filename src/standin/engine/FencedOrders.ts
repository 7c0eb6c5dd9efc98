import type { Order, OrderState } from '../../common/protocol/Backend.js';
import type { Counter } from '../Types.js';

/** Applies orders to an engine and rejects those with an old fencing number. */
export class FencedOrders {
  private applied: Order | null = null;

  private highestFencing = 0;

  private readonly counts = { ordersApplied: 0, ordersRejected: 0, oldOrdersApplied: 0 };

  /** Order in force and the highest fencing number received. */
  get state(): OrderState {
    return { applied: this.applied, highestFencing: this.highestFencing };
  }

  /**
   * Applies an order.
   * @param order - desired state of the engine
   * @param ignoresFencing - whether orders with an old fencing number are applied as well
   * @returns false if the order was rejected because its fencing number is old
   */
  apply(order: Order, ignoresFencing: boolean): boolean {
    const isStale = order.fencing < this.highestFencing;
    if (isStale && !ignoresFencing) {
      this.counts.ordersRejected += 1;
      return false;
    }
    if (isStale) this.counts.oldOrdersApplied += 1;
    this.counts.ordersApplied += 1;
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    this.applied = order;
    return true;
  }

  counters(): Record<string, Counter> {
    return { ...this.counts };
  }
}
