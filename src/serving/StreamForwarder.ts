import type { Disposable } from '../common/events/Types.js';
import { EventParser, type StreamEvent } from '../common/response/EventParser.js';
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
import type { ResponseAttributes } from './Types.js';

const LINE_END = 0x0a;

/** Forwards the event stream of one backend server to the caller, event by event. */
export class StreamForwarder implements ExchangeListener {
  private parser: EventParser | undefined;

  /** Incomplete event of a success, or the body of any other response. */
  private buffer: ResponseBuffer | undefined;

  private pool: ServerConnectionPool | undefined;

  private exchange: Exchange | undefined;

  private settle: (outcome: ForwardOutcome) => void = () => undefined;

  private status = 0;

  private headers: string[] = [];

  private attributes: ResponseAttributes | undefined;

  /** Whether the caller has received events, also of earlier runs. */
  private hasForwardedEvents: boolean;

  /** Whether this run has sent events. */
  private hasReceivedEvents = false;

  private lastEventId: string | undefined;

  private timer: NodeJS.Timeout | undefined;

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
      this.restartTimer(this.failover?.firstAfterMs);
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
    this.parser = new EventParser(this.buffer);
    const matchesAttempt = attemptId === this.request.attributes.attemptId;
    if (!matchesAttempt || !isSigned || hasContentCoding) this.abort('answer of another request');
  }

  onData(chunk: Buffer): void {
    if (this.parser) this.parser.push(chunk).forEach((event) => this.forwardEvent(event));
    else this.buffer?.append(chunk);
  }

  onEnd(): void {
    if (!this.parser) {
      this.finish(this.failureOutcome(), false);
      return;
    }
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
    this.request.response.start(this.status, this.headers);
    if (remainder.length > 0) this.request.response.write(remainder);
    this.request.response.end();
    this.finish({ kind: 'answered', status: this.status }, false);
  }

  onFailure({ kind, message, isConnectionLost }: ExchangeFailure): void {
    if (kind === 'unsent') this.finish({ kind, cause: message }, false);
    else this.finish(this.lossOutcome(message, isConnectionLost), false);
  }

  private forwardEvent({ bytes, id, hasData }: StreamEvent): void {
    this.hasReceivedEvents = true;
    if (this.isDuplicate(id)) return;
    // Comments and repeated events are no progress: a stalled server may keep sending them.
    if (hasData) this.restartTimer(this.failover?.nextAfterMs);
    this.lastEventId = id ?? this.lastEventId;
    const { response } = this.request;
    if (!this.hasForwardedEvents) response.start(this.status, this.headers);
    this.hasForwardedEvents = true;
    this.options.onEvent?.();
    if (response.write(bytes)) return;
    this.exchange?.pause();
    response.onDrain(() => this.exchange?.resume());
  }

  /** Whether the caller already received the event from an earlier run. */
  private isDuplicate(id: string | undefined): boolean {
    if (this.lastEventId === undefined || id === undefined) return false;
    return Number(id) <= Number(this.lastEventId);
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

  private restartTimer(timeoutMs: number | undefined): void {
    clearInterval(this.timer);
    if (timeoutMs === undefined) return;
    let waitedMs = 0;
    this.timer = setInterval(() => {
      waitedMs += timeoutMs;
      if (this.failover?.mayMove(waitedMs)) this.abort(`no event in ${waitedMs} ms`);
    }, timeoutMs);
  }

  private finish(outcome: ForwardOutcome, mustAbort: boolean): void {
    clearInterval(this.timer);
    this.subscription?.dispose();
    this.buffer?.release();
    if (mustAbort) this.exchange?.abort();
    this.settle(outcome);
  }
}
