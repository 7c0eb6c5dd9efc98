/** Giving orders to a model engine. */
import type { Order, OrderState } from '../../common/protocol/Backend.js';

/** What an engine should serve. */
export type WantedState = Pick<Order, 'models' | 'adapters' | 'version' | 'role'>;

/** Engine as the one who gives orders sees it. Calls never reject. */
export interface OrderTarget {
  /** @returns state in force, or null if the engine does not answer */
  read(timeoutMs: number): Promise<OrderState | null>;
  /** @returns `rejected` if the engine has seen a higher fencing number */
  apply(order: Order, timeoutMs: number): Promise<'applied' | 'rejected' | 'failed'>;
}
