/** Types for orders to a model engine. */
import type { Order, OrderState } from '../../common/protocol/Backend.js';

/** Models, adapters, version and role that an engine should serve. */
export type DesiredState = Pick<Order, 'models' | 'adapters' | 'version' | 'role'>;

/** Model engine that accepts orders. Calls never reject. */
export interface OrderTarget {
  /** @returns current state, or null if the engine does not respond */
  read(timeoutMs: number): Promise<OrderState | null>;
  /**
   * Sends an order.
   * @returns `rejected` if the engine has seen a higher fencing number; `failed` on any other error
   * or if there is no response
   */
  apply(order: Order, timeoutMs: number): Promise<'applied' | 'rejected' | 'failed'>;
}
