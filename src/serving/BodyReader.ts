import type { IncomingMessage } from 'node:http';
import { ByteSegments } from '../common/ByteSegments.js';
import { SegmentPool } from '../common/SegmentPool.js';
import { ByteAllowance } from '../common/response/ByteAllowance.js';
import type { Clock } from '../common/time/Types.js';
import type { Cancellation } from '../common/events/Cancellation.js';
import type { Disposable } from '../common/events/Types.js';
import type { EvictionReason, HeldBytes } from '../common/requests/HeldBytes.js';
import type { CallerConnection } from './CallerConnection.js';
import { NOT_RUN_STATUS, type ErrorResponse } from './CallerResponse.js';
import type { ClientRefusalReason, ClientRefusals } from './ClientRefusals.js';
import { announcedBytes, hasBody } from './HttpHeaders.js';
import type { PacedReading } from './PacedReading.js';

/** Status of a request whose body is too large. */
const TOO_LARGE_STATUS = 413;

/** Status of a request whose body did not arrive in time. */
const BODY_TIMED_OUT_STATUS = 408;

/** Retry-After of a request that was refused because of the memory, without its spread, in ms. */
const MEMORY_RETRY_MS = 1000;

/** Chunks of a body, whatever their size, whose work is not accounted for. */
const FREE_CHUNKS = 16;

/** Bytes outside the content for each byte of it, from which on a body counts as faulty. */
const MAX_FRAMING_RATIO = 16;

/** Bytes of a body between two checks of the rate of all bodies. */
const RATE_CHECK_BYTES = 4096;

/** Dependencies of {@link BodyReader}. */
export interface BodyReaderServices {
  readonly clock: Clock;
  readonly heldBytes: HeldBytes;
  readonly refusals: ClientRefusals;
  readonly pacedReading: PacedReading;
  /** Most bytes outside the content, whatever its size. */
  readonly framingBytes: number;
  /** Bytes of all bodies that are read in a second; more are read later. */
  readonly bytesPerS: number;
  readonly random: () => number;
}

/** A body that was read completely and counts towards the bytes of running requests. */
export interface RequestBody {
  readonly bytes: Buffer;
  /** Returns the bytes; called when the request has ended. */
  release(): void;
}

/** Options of {@link BodyReader.read}. */
export interface BodyOptions {
  /** Most bytes of the body. */
  readonly maxBytes: number;
  /** Ends the reading, for example at the deadline. */
  readonly cancellation: Cancellation;
  /** Called before a body is read that the client announced and waits to send. */
  readonly onExpected?: () => void;
  /** Called once with the response to a request whose body is refused. */
  readonly onRefused: (error: ErrorResponse) => void;
}

const NO_BODY: RequestBody = { bytes: Buffer.alloc(0), release: () => undefined };

/** Reads the bodies of requests within the limits of the process. */
export class BodyReader {
  private readonly pool = new SegmentPool();

  /** Bounds the buffers of chunks that wait for the garbage collector. */
  private readonly allowance: ByteAllowance;

  constructor(private readonly services: BodyReaderServices) {
    this.allowance = new ByteAllowance(services.bytesPerS);
  }

  /**
   * @param message - request whose head has arrived
   * @param connection - connection of the caller
   * @param options - limit and callbacks
   * @returns body; undefined if it was refused, or the reading was cancelled
   */
  read(
    message: IncomingMessage,
    connection: CallerConnection,
    options: BodyOptions,
  ): Promise<RequestBody | undefined> {
    const { maxBytes, cancellation, onExpected, onRefused } = options;
    if (!hasBody(message.rawHeaders)) {
      message.resume();
      return Promise.resolve(NO_BODY);
    }
    return new Promise((resolve) => {
      const { heldBytes, refusals } = this.services;
      const { address } = connection;
      const content = new ByteSegments(this.pool);
      let isSettled = false;
      let subscription: Disposable | undefined;
      const settle = (body: RequestBody | undefined) => {
        if (isSettled) return;
        isSettled = true;
        connection.endWaiting();
        subscription?.dispose();
        if (!body) content.release();
        if (!body) holding.release();
        resolve(body);
      };
      const refuse = (reason: ClientRefusalReason, error: ErrorResponse) => {
        if (isSettled) return;
        settle(undefined);
        refusals.record(address, reason);
        onRefused(error);
      };
      connection.beginWaiting();
      const holding = heldBytes.open('reading', address, (reason) =>
        refuse(...this.refusalOf(reason)),
      );
      subscription = cancellation.onCancelled(() => settle(undefined));
      if (announcedBytes(message.rawHeaders) > maxBytes) {
        refuse(...TOO_LARGE);
        return;
      }
      onExpected?.();
      const framing = this.framingCheck(message, connection);
      message.on('data', (chunk: Buffer) => {
        if (isSettled) return;
        if (content.length + chunk.length > maxBytes) {
          refuse(...TOO_LARGE);
          return;
        }
        const { capacity } = content;
        content.append(chunk);
        holding.recordProgress(chunk.length);
        if (content.capacity !== capacity) holding.resize(content.capacity);
        if (!framing(chunk.length)) refuse(...TOO_MUCH_FRAMING);
      });
      message.on('end', () => {
        if (isSettled) return;
        const bytes = content.finish();
        holding.resize(bytes.length);
        if (holding.startRunning()) settle({ bytes, release: () => holding.release() });
        else refuse('running-memory', { ...this.memoryRefusal(), mustClose: false });
      });
      message.on('error', () => settle(undefined));
      message.on('close', () => settle(undefined));
    });
  }

  /**
   * Reads the body of a request that was answered already, up to a limit, so that the connection can
   * be used again.
   * @param message - request whose head has arrived
   * @param connection - connection of the caller
   * @param maxBytes - most bytes to read
   * @param onExcess - called once if there are more
   */
  discard(
    message: IncomingMessage,
    connection: CallerConnection,
    maxBytes: number,
    onExcess: () => void,
  ): void {
    if (!hasBody(message.rawHeaders)) {
      message.resume();
      return;
    }
    let bytes = 0;
    let isExceeded = false;
    const framing = this.framingCheck(message, connection);
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (isExceeded || (framing(chunk.length) && bytes <= maxBytes)) return;
      isExceeded = true;
      onExcess();
    });
  }

  /** @returns function that is called with the size of each chunk and returns whether to go on */
  private framingCheck(
    message: IncomingMessage,
    connection: CallerConnection,
  ): (chunkBytes: number) => boolean {
    const { pacedReading, framingBytes } = this.services;
    const { socket } = connection;
    const readBefore = socket.bytesRead;
    let chunks = 0;
    let bytes = 0;
    let nextCheck = RATE_CHECK_BYTES;
    return (chunkBytes) => {
      chunks += 1;
      bytes += chunkBytes;
      if (bytes >= nextCheck) {
        this.limitRate(connection, bytes - nextCheck + RATE_CHECK_BYTES);
        nextCheck = bytes + RATE_CHECK_BYTES;
      }
      if (chunks <= FREE_CHUNKS) return true;
      if (chunks === FREE_CHUNKS + 1) connection.readPassively(message);
      pacedReading.recordChunk(connection, chunkBytes);
      if (chunks % FREE_CHUNKS !== 0) return true;
      const framing = socket.bytesRead - readBefore - bytes;
      return framing <= Math.max(framingBytes, MAX_FRAMING_RATIO * bytes);
    };
  }

  /** Reads a connection later if all bodies together arrive too fast. */
  private limitRate(connection: CallerConnection, bytes: number): void {
    const overdraftMs = this.allowance.spend(bytes, this.services.clock.now());
    if (overdraftMs === 0 || connection.isPaused) return;
    connection.pause();
    setTimeout(() => connection.resume(), overdraftMs);
  }

  private refusalOf(reason: EvictionReason): [ClientRefusalReason, ErrorResponse] {
    const refusals: Record<EvictionReason, [ClientRefusalReason, ErrorResponse]> = {
      memory: ['body-memory', this.memoryRefusal()],
      rate: ['body-rate', { ...this.memoryRefusal(), reason: 'body arrives too slowly' }],
      stalled: [
        'body-stalled',
        { status: BODY_TIMED_OUT_STATUS, reason: 'body does not arrive', mustClose: true },
      ],
    };
    return refusals[reason];
  }

  private memoryRefusal(): ErrorResponse {
    // Callers that are refused at the same time should not all return at the same time.
    const retryAfterMs = MEMORY_RETRY_MS * (1 + this.services.random());
    return {
      status: NOT_RUN_STATUS,
      reason: 'no memory for the body',
      retryAfterMs,
      mustClose: true,
    };
  }
}

const TOO_LARGE: [ClientRefusalReason, ErrorResponse] = [
  'body-size',
  { status: TOO_LARGE_STATUS, reason: 'body too large', mustClose: true },
];

const TOO_MUCH_FRAMING: [ClientRefusalReason, ErrorResponse] = [
  'body-framing',
  { status: TOO_LARGE_STATUS, reason: 'too many bytes outside the body', mustClose: true },
];
