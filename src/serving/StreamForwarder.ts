import { ByteCollector } from '../common/ByteCollector.js';
import type { Disposable } from '../common/events/Types.js';
import { isLaterEvent } from '../common/response/EventIds.js';
import { EventParser } from '../common/response/EventParser.js';
import type { ResponseBuffer } from '../common/response/ResponseBuffer.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import { isRetryable, type CallerRequest } from './CallerRequest.js';
import type { Failover } from './FailoverPolicy.js';
import {
  isRefusal,
  isServerError,
  isSuccess,
  type ForwardOptions,
  type ForwardOutcome,
} from './ForwardOutcome.js';
import type { ForwardServices } from './BufferedForwarder.js';
import type {
  Exchange,
  ExchangeFailure,
  ExchangeListener,
  ServerConnectionPool,
} from './ServerConnectionPool.js';
import { StreamFlow } from './StreamFlow.js';
import type { ResponseAttributes } from './Types.js';

const LINE_END = 0x0a;

/** Most bytes without data that are held back before the first event of a stream. */
const MAX_HELD_BYTES = 4096;

/** What one chunk of a stream has completed. */
interface ChunkSummary {
  events: number;
  hasData: boolean;
  /** Bytes of comments and empty events. */
  idleBytes: number;
}

/** Adjacent events that are forwarded together. */
interface EventRange {
  readonly bytes: Buffer;
  readonly start: number;
  end: number;
}

/** Forwards the event stream of one backend server to the caller. */
export class StreamForwarder implements ExchangeListener {
  private parser: EventParser | undefined;

  private flow: StreamFlow | undefined;

  private summary: ChunkSummary = { events: 0, hasData: false, idleBytes: 0 };

  private range: EventRange | undefined;

  /** Incomplete event of a success, or the body of any other response. */
  private buffer: ResponseBuffer | undefined;

  private pool: ServerConnectionPool | undefined;

  private exchange: Exchange | undefined;

  private settle: (outcome: ForwardOutcome) => void = () => undefined;

  private status = 0;

  private headers: string[] = [];

  private attributes: ResponseAttributes | undefined;

  /**
   * Comments before the first event with data, if another send may answer first: a stalled server may
   * also send them.
   */
  private held: ByteCollector | undefined;

  /** Whether the caller has received events, also of earlier runs. */
  private hasForwardedEvents: boolean;

  /** Whether this run has sent events with data. */
  private hasProgress = false;

  /** Whether this run has sent events. */
  private hasReceivedEvents = false;

  private lastEventId: string | undefined;

  private timer: NodeJS.Timeout | undefined;

  /** Time without an event with data, in ms, as of the last check of the timer. */
  private waitedMs = 0;

  private subscription: Disposable | undefined;

  /**
   * @param services - connections and protocol
   * @param request - caller's request
   * @param options - headers to send and the event after which the stream resumes
   * @param failover - when the stream moves to another server; undefined to wait until the deadline
   */
  constructor(
    private readonly services: ForwardServices,
    private readonly request: CallerRequest,
    private readonly options: ForwardOptions,
    private readonly failover?: Failover,
  ) {
    this.lastEventId = options.lastEventId;
    this.hasForwardedEvents = request.response.hasStarted;
  }

  /**
   * @param server - backend server to send the request to
   * @returns how forwarding ended
   */
  forward(server: BackendServer): Promise<ForwardOutcome> {
    const { request, options, services } = this;
    const pool = services.connections.to(server);
    return new Promise((resolve) => {
      this.settle = resolve;
      this.pool = pool;
      this.exchange = pool.send(
        {
          method: request.method,
          path: request.target,
          headers: options.headers,
          ...(request.body.length > 0 && { body: request.body }),
          needsNewConnection: !isRetryable(request),
        },
        this,
      );
      if (!this.exchange) {
        resolve({
          kind: 'unsent',
          cause: 'all connections in the share of this process are in use',
        });
        return;
      }
      this.startTimer(this.failover?.firstAfterMs);
      this.subscription = request.cancellation.onCancelled(() =>
        this.finish({ kind: 'cancelled' }, true),
      );
    });
  }

  onHead(status: number, headers: string[]): void {
    this.status = status;
    this.headers = headers;
    this.options.onHead?.();
    this.attributes = this.services.protocol.parseResponse(headers);
    const { attemptId, isSigned, hasContentCoding } = this.attributes;
    const limit = isSuccess(this.status) ? 'eventBytes' : 'errorBodyBytes';
    this.buffer = this.pool?.createBuffer(limit, (reason) => this.abort(reason));
    if (!isSuccess(this.status) || !this.buffer) return;
    this.parser = new EventParser(this.buffer, (...event) => this.acceptEvent(...event));
    this.flow = this.createFlow();
    const matchesAttempt = attemptId === this.request.attributes.attemptId;
    if (!matchesAttempt || !isSigned || hasContentCoding) this.abort('answer of another request');
  }

  onData(chunk: Buffer): void {
    if (!this.parser) {
      this.buffer?.append(chunk);
      return;
    }
    this.summary = { events: 0, hasData: false, idleBytes: 0 };
    this.parser.push(chunk);
    this.sendRange();
    const { events, hasData, idleBytes } = this.summary;
    // Comments and repeated events are no progress: a stalled server may keep sending them.
    if (hasData) this.recordProgress();
    if (events > 0) this.options.onEvents?.(events);
    this.flow?.recordReceived(chunk.length, idleBytes);
  }

  onEnd(): boolean {
    const { attemptId } = this.request.attributes;
    const isReusable = this.attributes?.attemptId === attemptId;
    if (this.parser) this.endStream();
    else this.finish(this.failureOutcome(), false);
    return isReusable;
  }

  private endStream(): void {
    if (!this.parser) return;
    const remainder = Buffer.from(this.parser.remainder);
    if (remainder.some((byte) => byte !== LINE_END)) {
      this.finish(this.lossOutcome('stream ended within an event', true), false);
      return;
    }
    // Without a length or chunked framing, a server that ends before the first event looks the same.
    if (!this.hasReceivedEvents && !this.attributes?.isFramed) {
      this.finish(this.lossOutcome('stream ended without an event', true), false);
      return;
    }
    if (!this.hasForwardedEvents && !this.startResponse()) return;
    this.flow?.flush();
    if (remainder.length > 0) this.request.response.write(remainder);
    this.request.response.end();
    this.finish({ kind: 'answered', status: this.status }, false);
  }

  onFailure({ kind, message, isConnectionLost }: ExchangeFailure): void {
    if (kind === 'unsent') this.finish({ kind, cause: message }, false);
    else this.finish(this.lossOutcome(message, isConnectionLost), false);
  }

  private createFlow(): StreamFlow | undefined {
    const { pool, request, services } = this;
    return (
      pool &&
      new StreamFlow({
        clock: services.clock,
        limits: pool.responseLimits,
        response: request.response,
        exchange: () => this.exchange,
        onExcess: (reason) => this.abort(reason),
      })
    );
  }

  private acceptEvent(
    bytes: Buffer,
    start: number,
    end: number,
    id: string | undefined,
    hasData: boolean,
  ): void {
    this.hasReceivedEvents = true;
    const { summary, range } = this;
    if (!hasData) summary.idleBytes += end - start;
    if (this.isDuplicate(id)) return;
    this.lastEventId = id ?? this.lastEventId;
    if (!hasData && this.hold(bytes.subarray(start, end))) return;
    summary.events += 1;
    summary.hasData ||= hasData;
    if (range?.bytes === bytes && range.end === start) range.end = end;
    else {
      this.sendRange();
      this.range = { bytes, start, end };
    }
  }

  private sendRange(): void {
    const { range } = this;
    if (!range) return;
    this.range = undefined;
    if (!this.hasForwardedEvents && !this.startResponse()) return;
    this.flow?.send(range.bytes.subarray(range.start, range.end));
  }

  /** @returns whether the bytes were held back until an event with data follows them */
  private hold(bytes: Buffer): boolean {
    if (!this.options.claim || this.hasForwardedEvents || this.range) return false;
    this.held ??= new ByteCollector();
    if (this.held.length + bytes.length > MAX_HELD_BYTES) return false;
    this.held.append(bytes);
    return true;
  }

  /** @returns whether this run may write to the caller; otherwise, it has ended */
  private startResponse(): boolean {
    const { request, options, status, headers, held } = this;
    if (options.claim?.(status) === false) {
      this.finish({ kind: 'cancelled' }, true);
      return false;
    }
    request.response.start(status, headers);
    this.hasForwardedEvents = true;
    if (held) this.flow?.send(held.bytes);
    this.held = undefined;
    return true;
  }

  /** Whether the caller already received the event from an earlier run. */
  private isDuplicate(id: string | undefined): boolean {
    if (this.lastEventId === undefined || id === undefined) return false;
    return !isLaterEvent(id, this.lastEventId);
  }

  private failureOutcome(): ForwardOutcome {
    const { status, headers, attributes } = this;
    const { attemptId } = this.request.attributes;
    if (attributes && isRefusal(attributes, attemptId)) return { kind: 'not-executed', status };
    const matchesAttempt = attributes?.attemptId === attemptId;
    if (!matchesAttempt)
      return {
        kind: 'broken',
        cause: `answer of another request (status ${status})`,
        isConnectionLost: false,
      };
    const body = this.buffer?.finish() ?? Buffer.alloc(0);
    if (isServerError(status) || this.hasForwardedEvents) {
      return { kind: 'server-error', status, headers, body };
    }
    if (this.options.claim?.(status) === false) return { kind: 'cancelled' };
    this.request.response.sendComplete(status, headers, body);
    return { kind: 'answered', status };
  }

  /** @returns outcome of a stream that ended before it was complete */
  private lossOutcome(cause: string, isConnectionLost: boolean): ForwardOutcome {
    return this.hasForwardedEvents
      ? { kind: 'interrupted', lastEventId: this.lastEventId, cause, isConnectionLost }
      : { kind: 'broken', cause, isConnectionLost };
  }

  /** Ends the exchange, which is still in progress. */
  private abort(cause: string): void {
    this.finish(this.lossOutcome(cause, false), true);
  }

  private startTimer(timeoutMs: number | undefined): void {
    clearInterval(this.timer);
    this.waitedMs = 0;
    if (timeoutMs === undefined) return;
    this.timer = setInterval(() => {
      this.waitedMs += timeoutMs;
      if (this.failover?.mayMove(this.waitedMs)) this.abort(`no event in ${this.waitedMs} ms`);
    }, timeoutMs);
  }

  /** Restarts the time until the next event, which is another one than until the first. */
  private recordProgress(): void {
    if (this.hasProgress) {
      this.waitedMs = 0;
      this.timer?.refresh();
    } else this.startTimer(this.failover?.nextAfterMs);
    this.hasProgress = true;
  }

  private finish(outcome: ForwardOutcome, mustAbort: boolean): void {
    clearInterval(this.timer);
    this.flow?.dispose();
    this.subscription?.dispose();
    this.buffer?.release();
    if (mustAbort) this.exchange?.abort();
    this.settle(outcome);
  }
}
