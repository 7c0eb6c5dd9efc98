import type { Disposable } from '../common/events/Types.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import { isRepeatable, type CallerRequest } from './CallerRequest.js';
import { EventParser } from './EventParser.js';
import { isServerError, type ForwardOrder, type ForwardOutcome } from './ForwardOutcome.js';
import type { ForwardServices } from './PlainForwarder.js';
import type { Exchange, ExchangeListener } from './ServerLinks.js';
import type { ResponseAttributes } from './Types.js';

/** Time-outs after which a stream that can resume at another server is aborted. */
export interface StreamPatience {
  /** Time to the first event, in ms; undefined to wait until the deadline of the request. */
  readonly firstEventMs?: number;
  /** Time between two events, in ms; undefined to wait until the deadline of the request. */
  readonly nextEventMs?: number;
}

/** Forwards the event stream of one backend server to the caller, event by event. */
export class StreamForwarder implements ExchangeListener {
  private readonly parser = new EventParser();

  private exchange: Exchange | undefined;

  private settle: (outcome: ForwardOutcome) => void = () => undefined;

  private status = 0;

  private headers: string[] = [];

  private attributes: ResponseAttributes | undefined;

  private readonly errorBody: Buffer[] = [];

  private hasEvents: boolean;

  private lastEventId: string | undefined;

  private timer: NodeJS.Timeout | undefined;

  private subscription: Disposable | undefined;

  constructor(
    private readonly services: ForwardServices,
    private readonly request: CallerRequest,
    private readonly order: ForwardOrder,
    private readonly patience: StreamPatience,
  ) {
    this.lastEventId = order.lastEventId;
    this.hasEvents = request.response.hasStarted;
  }

  /**
   * @param server - backend server to send the request to
   * @returns how forwarding ended
   */
  forward(server: BackendServer): Promise<ForwardOutcome> {
    const { request, order, services } = this;
    return new Promise((resolve) => {
      this.settle = resolve;
      this.exchange = services.connections.to(server).send(
        {
          method: request.method,
          path: request.target,
          headers: order.headers,
          ...(request.body.length > 0 && { body: request.body }),
          needsFreshConnection: !isRepeatable(request),
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
      this.expectWithin(this.patience.firstEventMs);
      this.subscription = request.cancellation.onCancelled(() =>
        this.finish({ kind: 'cancelled' }, true),
      );
    });
  }

  onHead(status: number, headers: string[]): void {
    this.status = status;
    this.headers = headers;
    this.attributes = this.services.protocol.readResponse(headers);
    const { attemptId, isSigned, isEncoded } = this.attributes;
    if (!this.isSuccess) return;
    const isOwn = attemptId === this.request.attributes.attemptId;
    if (!isOwn || !isSigned || isEncoded) this.breakOff('answer of another request', true);
  }

  onData(chunk: Buffer): void {
    if (!this.isSuccess) {
      this.errorBody.push(chunk);
      return;
    }
    this.parser.push(chunk).forEach(({ data, id }) => this.passEvent(data, id));
  }

  onEnd(): void {
    if (!this.isSuccess) {
      this.finish(this.failureOutcome(), false);
      return;
    }
    const { remainder } = this.parser;
    // Without a length or chunked framing, only an incomplete last event shows a truncated body.
    if (remainder.length > 0 && !this.attributes?.isFramed) {
      this.breakOff('stream ended within an event', false);
      return;
    }
    this.request.response.begin(this.status, this.headers);
    if (remainder.length > 0) this.request.response.write(remainder);
    this.request.response.end();
    this.finish({ kind: 'answered', status: this.status }, false);
  }

  onFailure({ kind, message }: { kind: 'unsent' | 'broken'; message: string }): void {
    if (kind === 'unsent') this.finish({ kind, cause: message }, false);
    else this.breakOff(message, false);
  }

  private get isSuccess(): boolean {
    return this.status >= 200 && this.status < 300;
  }

  private passEvent(data: Buffer, id: string | undefined): void {
    this.expectWithin(this.patience.nextEventMs);
    if (this.isRepeated(id)) return;
    this.lastEventId = id ?? this.lastEventId;
    const { response } = this.request;
    if (!this.hasEvents) response.begin(this.status, this.headers);
    this.hasEvents = true;
    this.order.onFirstEvent?.();
    if (response.write(data)) return;
    this.exchange?.pause();
    response.onDrain(() => this.exchange?.resume());
  }

  /** Whether the caller already received the event from an earlier run. */
  private isRepeated(id: string | undefined): boolean {
    if (this.lastEventId === undefined || id === undefined) return false;
    return Number(id) <= Number(this.lastEventId);
  }

  private failureOutcome(): ForwardOutcome {
    const { status, headers } = this;
    if (this.attributes?.isNotExecuted) return { kind: 'not-executed', status };
    const isOwn = this.attributes?.attemptId === this.request.attributes.attemptId;
    if (!isOwn) return { kind: 'broken', cause: `answer of another request (status ${status})` };
    const body = Buffer.concat(this.errorBody);
    if (isServerError(status) || this.hasEvents) {
      return { kind: 'server-error', status, headers, body };
    }
    this.request.response.pass(status, headers, body);
    return { kind: 'answered', status };
  }

  private breakOff(cause: string, isOpen: boolean): void {
    const outcome: ForwardOutcome = this.hasEvents
      ? { kind: 'interrupted', lastEventId: this.lastEventId, cause }
      : { kind: 'broken', cause };
    this.finish(outcome, isOpen);
  }

  private expectWithin(timeoutMs: number | undefined): void {
    clearTimeout(this.timer);
    if (timeoutMs === undefined) return;
    this.timer = setTimeout(() => this.breakOff(`no event in ${timeoutMs} ms`, true), timeoutMs);
  }

  private finish(outcome: ForwardOutcome, isOpen: boolean): void {
    clearTimeout(this.timer);
    this.subscription?.dispose();
    if (isOpen) this.exchange?.abort();
    this.settle(outcome);
  }
}
