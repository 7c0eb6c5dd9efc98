import { ByteAllowance } from '../common/response/ByteAllowance.js';
import type { ResponseLimits } from '../common/response/Types.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerResponse } from './CallerResponse.js';
import type { Exchange } from './ServerConnectionPool.js';

/** Most bytes and pieces that are collected before they are written. */
const MAX_COLLECTED_BYTES = 64 * 1024;
const MAX_COLLECTED_PIECES = 1024;

/** Dependencies of {@link StreamFlow}. */
export interface StreamFlowServices {
  readonly clock: Clock;
  readonly limits: Pick<ResponseLimits, 'idleBytesPerS' | 'streamBytesPerS'>;
  readonly response: Pick<CallerResponse, 'write' | 'onDrain'>;
  /** @returns exchange that is read; undefined before it has started */
  readonly exchange: () => Pick<Exchange, 'pause' | 'resume'> | undefined;
  /** Called with the reason when the stream has to end. */
  readonly onExcess: (reason: string) => void;
}

/**
 * Writes events to the caller and controls how fast the server is read.
 *
 * Bounds what the events of a stream cost, however small they are: those that arrive together are one
 * write, a slow caller has one listener, comments and empty events have an allowance, and a stream that
 * is faster than its allowance is read slowly.
 */
export class StreamFlow {
  private pieces: Buffer[] = [];

  private pieceBytes = 0;

  private isWriteScheduled = false;

  /** Whether the caller reads too slowly. */
  private isBlocked = false;

  private pacingTimer: NodeJS.Timeout | undefined;

  private isDisposed = false;

  private readonly idleAllowance: ByteAllowance;

  private readonly streamAllowance: ByteAllowance;

  constructor(private readonly services: StreamFlowServices) {
    const { idleBytesPerS, streamBytesPerS } = services.limits;
    this.idleAllowance = new ByteAllowance(idleBytesPerS);
    this.streamAllowance = new ByteAllowance(streamBytesPerS);
  }

  /** Sends bytes to the caller, together with those that follow in the same turn of the event loop. */
  send(bytes: Buffer): void {
    this.pieces.push(bytes);
    this.pieceBytes += bytes.length;
    const { length } = this.pieces;
    if (this.pieceBytes >= MAX_COLLECTED_BYTES || length >= MAX_COLLECTED_PIECES) this.flush();
    else if (!this.isWriteScheduled) {
      this.isWriteScheduled = true;
      process.nextTick(() => this.flush());
    }
  }

  /** Writes the bytes that have been collected. */
  flush(): void {
    this.isWriteScheduled = false;
    const { pieces } = this;
    if (pieces.length === 0) return;
    this.pieces = [];
    this.pieceBytes = 0;
    const { response } = this.services;
    if (response.write(pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces))) return;
    if (this.isBlocked) return;
    this.isBlocked = true;
    this.updateReading();
    response.onDrain(() => {
      this.isBlocked = false;
      this.updateReading();
    });
  }

  /**
   * Records what was received.
   * @param bytes - number of bytes
   * @param idleBytes - those of comments and empty events among them
   */
  recordReceived(bytes: number, idleBytes: number): void {
    if (this.isDisposed) return;
    const { clock, limits, onExcess } = this.services;
    const now = clock.now();
    if (idleBytes > 0 && this.idleAllowance.spend(idleBytes, now) > 0) {
      onExcess(`comments and empty events exceed idleBytesPerS of ${limits.idleBytesPerS} bytes`);
      return;
    }
    const overdraftMs = this.streamAllowance.spend(bytes, now);
    if (overdraftMs === 0 || this.pacingTimer) return;
    this.pacingTimer = setTimeout(() => {
      this.pacingTimer = undefined;
      this.updateReading();
    }, overdraftMs);
    this.updateReading();
  }

  /** Writes what is left, and no longer controls the exchange. */
  dispose(): void {
    this.flush();
    this.isDisposed = true;
    clearTimeout(this.pacingTimer);
  }

  private updateReading(): void {
    if (this.isDisposed) return;
    const exchange = this.services.exchange();
    if (this.isBlocked || this.pacingTimer) exchange?.pause();
    else exchange?.resume();
  }
}
