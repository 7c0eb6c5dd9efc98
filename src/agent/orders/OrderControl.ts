import type { Disposable } from '../../common/events/Types.js';
import type { Clock } from '../../common/time/Types.js';
import type { TableStore } from '../../storage/Types.js';
import type { Logger } from '../../telemetry/Logger.js';
import type { AgentSettings } from '../AgentSettings.js';
import type { AgentIdentity } from '../Types.js';
import { HttpOrderTarget } from './HttpOrderTarget.js';
import { OrderLease } from './OrderLease.js';
import { OrderReconciler } from './OrderReconciler.js';

/** Renewals within the time to live of a lease; with three, two in a row may fail. */
const RENEWALS_PER_TTL = 3;

/** Options of {@link OrderControl}. */
export interface OrderControlOptions {
  readonly settings: AgentSettings;
  readonly orders: NonNullable<AgentSettings['orders']>;
  readonly identity: AgentIdentity;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Renews the lease of a model engine and keeps the engine in the desired state. */
export class OrderControl implements Disposable {
  private readonly lease: OrderLease;

  private readonly reconciler: OrderReconciler;

  private readonly timers: NodeJS.Timeout[] = [];

  private pendingUpdate: Promise<void> | null = null;

  /** @param options - settings, store, clock */
  constructor(private readonly options: OrderControlOptions) {
    const { settings, orders, identity, store, clock, logger } = options;
    const { agentId, incarnation } = identity;
    const { models, adapters, version, role, orderTimeoutMs } = orders;
    this.lease = new OrderLease({
      store,
      clock,
      agentId,
      incarnation,
      serverId: settings.backend.id,
      ttlMs: orders.leaseTtlMs,
      orderTimeoutMs: orders.fencing === 'ignored' ? orderTimeoutMs : 0,
    });
    this.reconciler = new OrderReconciler({
      lease: this.lease,
      target: new HttpOrderTarget(settings.backend.url),
      holder: `${agentId}/${incarnation}`,
      desired: { models, adapters, version, role },
      orderTimeoutMs,
      logger,
    });
  }

  /** Acquires the lease and starts the intervals for its renewal and for reconciliation. */
  start(): void {
    const { leaseTtlMs, reconcileIntervalMs } = this.options.orders;
    this.timers.push(
      setInterval(() => this.update(), leaseTtlMs / RENEWALS_PER_TTL),
      setInterval(() => this.reconcile(), reconcileIntervalMs),
    );
    this.update();
  }

  /** Stops sending orders and releases the lease, so that a successor need not wait. */
  async stop(): Promise<void> {
    this.dispose();
    await this.pendingUpdate;
    // Waits for an order in flight.
    await this.reconciler.reconcile();
    await this.lease.release();
  }

  dispose(): void {
    this.timers.splice(0).forEach((timer) => clearInterval(timer));
  }

  private update(): void {
    if (this.pendingUpdate) return;
    const wasInvalid = this.lease.validFencing() === null;
    this.pendingUpdate = this.lease
      .update()
      .then(() => (wasInvalid ? this.reconciler.reconcile() : undefined))
      .catch((error: unknown) => this.options.logger.error('lease update failed', { error }))
      .finally(() => {
        this.pendingUpdate = null;
      });
  }

  private reconcile(): void {
    this.reconciler
      .reconcile()
      .catch((error: unknown) =>
        this.options.logger.error('order reconciliation failed', { error }),
      );
  }
}
