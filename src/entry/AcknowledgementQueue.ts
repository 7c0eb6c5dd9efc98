import type { Disposable } from '../common/events/Types.js';
import type { Acknowledgement } from '../common/protocol/Control.js';

/** Time during which acknowledgements are collected before they are sent, one batch per agent. */
const BATCH_WINDOW_MS = 50;

/** Acknowledgements per call; the agent's schema allows 1000. */
const MAX_BATCH_SIZE = 500;

/** Failed calls after which a batch is dropped; the agent's retention time covers its results. */
const MAX_SEND_TRIES = 3;

/** Sends one batch; resolves to false if the call failed and the batch should be sent again. */
type BatchSender = (address: string, attempts: Acknowledgement[]) => Promise<boolean>;

/** Batches acknowledgements by agent, because a busy entry would make one call per result. */
export class AcknowledgementQueue implements Disposable {
  private readonly pending = new Map<string, Acknowledgement[]>();

  private readonly inFlight = new Set<Promise<void>>();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly send: BatchSender) {}

  /**
   * @param address - `ip:port` of the agent
   * @param acknowledgement - attempt whose result was received or is not needed
   */
  add(address: string, acknowledgement: Acknowledgement): void {
    const batch = this.pending.get(address);
    if (batch) batch.push(acknowledgement);
    else this.pending.set(address, [acknowledgement]);
    this.timer ??= setTimeout(() => this.sendPending(), BATCH_WINDOW_MS);
  }

  /** Sends all pending acknowledgements and resolves when all calls have ended. */
  async flush(): Promise<void> {
    this.sendPending();
    await Promise.all(this.inFlight);
  }

  dispose(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    this.pending.clear();
  }

  private sendPending(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    for (const [address, batch] of this.pending) {
      for (let start = 0; start < batch.length; start += MAX_BATCH_SIZE) {
        this.track(this.sendBatch(address, batch.slice(start, start + MAX_BATCH_SIZE)));
      }
    }
    this.pending.clear();
  }

  private track(call: Promise<void>): void {
    this.inFlight.add(call);
    call.finally(() => this.inFlight.delete(call)).catch(() => undefined);
  }

  private async sendBatch(address: string, batch: Acknowledgement[]): Promise<void> {
    for (let tries = 0; tries < MAX_SEND_TRIES; tries += 1) {
      if (await this.send(address, batch)) return;
    }
  }
}
