import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import { OrderState, type Order } from '../../common/protocol/Backend.js';
import type { BackendServer } from '../launch/Types.js';

const POLL_INTERVAL_MS = 40;
const CALL_TIMEOUT_MS = 2000;

/** Watches which order an engine has in force. */
export class OrderWatch {
  /** Times at which an order with an old fencing number replaced a newer one. */
  reverts = 0;

  /** Longest time that an old order was in force, in milliseconds. */
  longestOldMs = 0;

  /** Highest fencing number seen. */
  highest = 0;

  private inForce: Order | undefined;

  /** Order of the holder before the newest one. */
  private old: Order | undefined;

  private oldSince: number | undefined;

  private stopped = false;

  private loop: Promise<void> = Promise.resolve();

  constructor(readonly server: BackendServer) {}

  /** Starts asking the engine. */
  start(): void {
    this.loop = this.watch();
  }

  /**
   * Delivers the order of an earlier holder once more, as a network that delayed a copy of it.
   * @returns false if there was no earlier holder
   */
  async sendLateOrder(): Promise<boolean> {
    const { old } = this;
    if (!old) return false;
    const response = await request(`http://${this.server.address}/v1/orders`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(old),
    });
    await response.body.dump();
    return true;
  }

  /** Stops asking. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.loop;
  }

  private async watch(): Promise<void> {
    while (!this.stopped) {
      const state = await this.read();
      if (state?.applied) this.note(state.applied, state.highestFencing);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private note(order: Order, highest: number): void {
    const { inForce } = this;
    this.highest = Math.max(this.highest, highest);
    if (inForce && order.fencing < inForce.fencing) this.reverts += 1;
    if (inForce && order.fencing > inForce.fencing && inForce !== this.old) this.old = inForce;
    this.inForce = order;
    if (order.fencing >= this.highest) {
      this.oldSince = undefined;
      return;
    }
    this.oldSince ??= Date.now();
    this.longestOldMs = Math.max(this.longestOldMs, Date.now() - this.oldSince);
  }

  private async read(): Promise<OrderState | undefined> {
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
