import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { OrderState, type Order } from '../../common/protocol/Backend.js';
import type { BackendServer } from '../launch/Types.js';

const POLL_INTERVAL_MS = 40;
const CALL_TIMEOUT_MS = 2000;

/** Polls an engine for the order that it has applied and detects reverts to older orders. */
export class OrderMonitor {
  /** Number of times that an order replaced one with a higher fencing number. */
  reverts = 0;

  /** Longest time that an order below the highest fencing number was applied, in milliseconds. */
  longestStaleMs = 0;

  /** Highest fencing number reported by the engine. */
  highestFencing = 0;

  private appliedOrder: Order | undefined;

  /** Last order of the previous lease holder. */
  private previousOrder: Order | undefined;

  /** Wall-clock time since which a stale order has been applied, in milliseconds. */
  private staleSince: number | undefined;

  private stopped = false;

  private pollLoop: Promise<void> = Promise.resolve();

  /** @param server - engine to poll */
  constructor(readonly server: BackendServer) {}

  /** Starts polling the engine. */
  start(): void {
    this.pollLoop = this.poll();
  }

  /**
   * Sends the order of the previous lease holder again, as a network would that delayed a copy.
   * @returns false if there was no previous holder
   */
  async sendLateOrder(): Promise<boolean> {
    const { previousOrder } = this;
    if (!previousOrder) return false;
    const response = await request(`http://${this.server.address}/v1/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(previousOrder),
    });
    await response.body.dump();
    return true;
  }

  /** Stops polling. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.pollLoop;
  }

  private async poll(): Promise<void> {
    while (!this.stopped) {
      const state = await this.fetchState();
      if (state?.applied) this.recordOrder(state.applied, state.highestFencing);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private recordOrder(order: Order, highestFencing: number): void {
    const { appliedOrder } = this;
    this.highestFencing = Math.max(this.highestFencing, highestFencing);
    if (appliedOrder && order.fencing < appliedOrder.fencing) this.reverts += 1;
    if (appliedOrder && order.fencing > appliedOrder.fencing && appliedOrder !== this.previousOrder)
      this.previousOrder = appliedOrder;
    this.appliedOrder = order;
    if (order.fencing >= this.highestFencing) {
      this.staleSince = undefined;
      return;
    }
    this.staleSince ??= Date.now();
    this.longestStaleMs = Math.max(this.longestStaleMs, Date.now() - this.staleSince);
  }

  private async fetchState(): Promise<OrderState | undefined> {
    try {
      const response = await request(`http://${this.server.address}/v1/orders`, {
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      return OrderState.parse(await response.body.json());
    } catch {
      return undefined;
    }
  }
}
