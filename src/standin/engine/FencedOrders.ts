import type { Order, OrderState } from '../../common/protocol/Backend.js';
import type { Counter } from '../Types.js';

/** Orders that an engine was given, and the check of fencing numbers. */
export class OrderBook {
  private applied: Order | null = null;

  private highestFencing = 0;

  private readonly counts = { ordersApplied: 0, ordersRejected: 0, oldOrdersApplied: 0 };

  /** State in force and the highest fencing number seen. */
  get state(): OrderState {
    return { applied: this.applied, highestFencing: this.highestFencing };
  }

  /**
   * Applies an order.
   * @param order - wanted state
   * @param ignoresFencing - true if the fencing number is not checked
   * @returns false if the order was rejected because of an old fencing number
   */
  apply(order: Order, ignoresFencing: boolean): boolean {
    const isOld = order.fencing < this.highestFencing;
    if (isOld && !ignoresFencing) {
      this.counts.ordersRejected += 1;
      return false;
    }
    if (isOld) this.counts.oldOrdersApplied += 1;
    this.counts.ordersApplied += 1;
    this.highestFencing = Math.max(this.highestFencing, order.fencing);
    this.applied = order;
    return true;
  }

  counters(): Record<string, Counter> {
    return { ...this.counts };
  }
}
