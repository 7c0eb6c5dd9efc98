import type { ServerResponse } from 'node:http';
import type { EvictionReason, HeldBytes, Holding } from '../common/requests/HeldBytes.js';
import type { CallerConnection } from './CallerConnection.js';
import type { ClientRefusalReason, ClientRefusals } from './ClientRefusals.js';

/** Size of the parts in which a large body is written, in bytes; each one shows progress. */
const PART_BYTES = 64 * 1024;

const REASONS: Readonly<Record<EvictionReason, ClientRefusalReason>> = {
  memory: 'response-memory',
  rate: 'response-rate',
  stalled: 'response-stalled',
};

/** Dependencies of {@link ResponseDelivery}. */
export interface ResponseDeliveryServices {
  readonly heldBytes: HeldBytes;
  readonly refusals: ClientRefusals;
}

/**
 * Writes the body of one response and accounts for what the caller has not read yet. A caller that
 * reads too slowly loses its connection when the process needs the memory.
 */
export class ResponseDelivery {
  private holding: Holding | undefined;

  private isWhole = false;

  /**
   * @param services - budget of held bytes
   * @param response - HTTP response of Node.js
   * @param connection - connection of the caller
   */
  constructor(
    private readonly services: ResponseDeliveryServices,
    private readonly response: ServerResponse,
    private readonly connection: CallerConnection,
  ) {}

  /** Whether the whole response was handed over. The caller may still be reading it. */
  get hasEnded(): boolean {
    return this.isWhole || this.response.writableEnded;
  }

  /** Writes the last bytes of the response. */
  end(body?: Buffer): void {
    this.isWhole = true;
    if (body && body.length > PART_BYTES) {
      this.writeParts(body);
      return;
    }
    this.response.end(body);
    if (this.response.writableLength > 0) this.hold(this.response.writableLength);
  }

  /** @returns false if the caller reads too slowly; more should be written after `drain` */
  write(chunk: Buffer): boolean {
    if (this.response.write(chunk)) return true;
    if (this.response.writableLength === 0) return false;
    if (!this.holding) this.response.once('drain', () => this.release());
    this.hold(this.response.writableLength);
    return false;
  }

  /** Called when the response is complete or its connection closed. */
  dispose(): void {
    this.release();
  }

  private writeParts(body: Buffer): void {
    const { response } = this;
    let offset = 0;
    const writeNext = () => {
      while (offset < body.length && !response.destroyed) {
        const part = body.subarray(offset, offset + PART_BYTES);
        offset += part.length;
        if (!response.write(part)) {
          response.once('drain', () => {
            this.holding?.recordProgress(part.length);
            writeNext();
          });
          return;
        }
      }
      if (!response.destroyed) response.end();
    };
    this.hold(body.length);
    writeNext();
  }

  private hold(bytes: number): void {
    if (!this.holding) {
      const { heldBytes, refusals } = this.services;
      const { address } = this.connection;
      this.connection.beginWaiting();
      this.holding = heldBytes.open('response', address, (reason) => {
        refusals.record(address, REASONS[reason]);
        this.response.destroy();
        // A response that waits for an earlier one of its connection has no connection to close.
        this.connection.socket.destroy();
      });
    }
    this.holding.resize(bytes);
  }

  private release(): void {
    if (!this.holding) return;
    this.holding.release();
    this.holding = undefined;
    this.connection.endWaiting();
  }
}
