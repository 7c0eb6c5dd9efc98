import type { Disposable } from '../common/events/Types.js';
import type { Acknowledgement } from '../common/protocol/Control.js';

/** Time during which acknowledgements are collected before they are sent, one batch per agent. */
const GATHER_MS = 50;

/** Acknowledgements per call; the agent's schema allows 1000. */
const MAX_PER_CALL = 500;

/** Failed calls after which a batch is dropped; the agent's retention time covers its results. */
const MAX_TRIES = 3;

/** Sends one batch; resolves to false if the call failed and the batch should be sent again. */
type Send = (address: string, attempts: Acknowledgement[]) => Promise<boolean>;

/** Batches acknowledgements by agent, because a busy entry would make one call per result. */
export class AcknowledgementQueue implements Disposable {
  private readonly waiting = new Map<string, Acknowledgement[]>();

  private readonly sending = new Set<Promise<void>>();

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly send: Send) {}

  /**
   * @param address - `ip:port` of the agent
   * @param acknowledgement - attempt whose result was received or is not needed
   */
  add(address: string, acknowledgement: Acknowledgement): void {
    const batch = this.waiting.get(address);
    if (batch) batch.push(acknowledgement);
    else this.waiting.set(address, [acknowledgement]);
    this.timer ??= setTimeout(() => this.sendAll(), GATHER_MS);
  }

  /** Sends all pending acknowledgements and resolves when all calls have ended. */
  async flush(): Promise<void> {
    this.sendAll();
    await Promise.all(this.sending);
  }

  dispose(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    this.waiting.clear();
  }

  private sendAll(): void {
    if (this.timer) clearTimeout(this.timer);
    this.timer = null;
    for (const [address, batch] of this.waiting) {
      for (let start = 0; start < batch.length; start += MAX_PER_CALL) {
        this.track(this.sendBatch(address, batch.slice(start, start + MAX_PER_CALL)));
      }
    }
    this.waiting.clear();
  }

  private track(call: Promise<void>): void {
    this.sending.add(call);
    call.finally(() => this.sending.delete(call)).catch(() => undefined);
  }

  private async sendBatch(address: string, batch: Acknowledgement[]): Promise<void> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      if (await this.send(address, batch)) return;
    }
  }
}
