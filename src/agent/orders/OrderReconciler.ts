import { canonicalJson } from '../../common/Digest.js';
import type { OrderState } from '../../common/protocol/Backend.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { OrderLease } from './OrderLease.js';
import type { DesiredState, OrderTarget } from './Types.js';

/** Options of {@link OrderReconciler}. */
export interface OrderReconcilerOptions {
  readonly lease: OrderLease;
  readonly target: OrderTarget;
  /** Name of the holder, sent with each order. */
  readonly holder: string;
  readonly desired: DesiredState;
  readonly orderTimeoutMs: number;
  readonly logger: Logger;
}

/**
 * Brings the engine into the desired state. Because it runs at intervals, it also corrects the
 * effect of an order of a previous holder that arrived late.
 */
export class OrderReconciler {
  private running: Promise<void> | null = null;

  /** @param options - lease, engine and desired state */
  constructor(private readonly options: OrderReconcilerOptions) {}

  /**
   * Compares the engine's state with the desired one and sends an order if they differ. A call
   * during another one returns the promise of that one.
   */
  reconcile(): Promise<void> {
    this.running ??= this.compareAndApply().finally(() => {
      this.running = null;
    });
    return this.running;
  }

  private async compareAndApply(): Promise<void> {
    const { lease, target, orderTimeoutMs, desired, holder, logger } = this.options;
    if (lease.validFencing() === null) return;
    const state = await target.read(orderTimeoutMs);
    // The lease may have expired during the call.
    const fencing = lease.validFencing();
    if (state === null || fencing === null || isApplied(state, desired, fencing)) return;
    const result = await target.apply({ ...desired, fencing, holder }, orderTimeoutMs);
    logger.info('order given', { result, fencing });
    if (result === 'rejected') lease.invalidate();
  }
}

/**
 * Whether the engine has the desired state. An order with another fencing number came from another
 * holder and is sent again.
 */
function isApplied({ applied }: OrderState, desired: DesiredState, fencing: number): boolean {
  if (!applied || applied.fencing !== fencing) return false;
  const { models, adapters, version, role } = applied;
  return canonicalJson({ models, adapters, version, role }) === canonicalJson(desired);
}
