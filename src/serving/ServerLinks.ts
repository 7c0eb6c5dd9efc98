import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { Link } from './Link.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';

/** Time to make a connection, in ms. Links take a few; the rest covers one lost packet. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which a TCP keep-alive probe is sent, in ms. */
const PROBE_DELAY_MS = 1000;

/** Idle connections are closed after this time, in ms, unless the server asks for less. */
const IDLE_TIMEOUT_MS = 4000;

/** A connection is used again only after this idle time, in ms: a late second answer shows by then. */
const SETTLE_MS = 30;

/** A request to send. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer | string;
  /** True for requests that may not run twice: they never use a connection that may be stale. */
  readonly needsFreshConnection: boolean;
}

/** Why an exchange ended without a whole response. `unsent`: no byte of the request was sent. */
export interface ExchangeFailure {
  readonly kind: 'unsent' | 'broken';
  readonly message: string;
}

/** Takes the parts of a response. */
export interface ExchangeListener {
  onHead(status: number, headers: string[]): void;
  onData(chunk: Buffer): void;
  /** The body is whole as far as its framing tells. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** A request in progress. */
export interface Exchange {
  /** Closes the connection; the listener hears nothing more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Connections to one backend server, each for one request at a time. */
export class ServerLinks {
  private readonly links: Link[] = [];

  private isClosed = false;

  /**
   * @param server - backend server
   * @param clock - time source
   * @param maxLinks - own share of the connections that the server takes
   */
  constructor(
    readonly server: BackendServer,
    private readonly clock: Clock,
    private readonly maxLinks: () => number,
  ) {}

  /**
   * Sends a request.
   * @returns undefined if every connection of the own share is in use
   */
  send(request: ExchangeRequest, listener: ExchangeListener): Exchange | undefined {
    const link = this.acquire(request.needsFreshConnection);
    if (!link) return undefined;
    link.take();
    return this.exchange(link, request, listener);
  }

  /** Closes idle connections now and the others when their requests end. */
  close(): void {
    this.isClosed = true;
    this.links.filter(({ isBusy }) => !isBusy).forEach((link) => this.discard(link));
  }

  private acquire(isFresh: boolean): Link | undefined {
    const settledBefore = this.clock.now() - SETTLE_MS;
    const idle = this.links.filter((link) => !link.isBusy && link.idleSince <= settledBefore);
    // The connection idle for longest: the others stay open for bursts.
    const [oldest] = idle.sort((left, right) => left.idleSince - right.idleSince);
    if (!isFresh && oldest) return oldest;
    if (this.links.length >= this.maxLinks()) {
      if (!oldest) return undefined;
      this.discard(oldest);
    }
    return this.open();
  }

  private open(): Link {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: PROBE_DELAY_MS,
    });
    const client = new Client(`http://${this.server.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: 500,
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          // Registered before undici's own listeners, so the flag is set when the body ends.
          if (socket) watchForReset(socket, () => link.noteFailure());
          callback(...result);
        }),
    });
    const link = new Link(client, this.clock.now());
    client.on('disconnect', () => {
      if (!link.isBusy) this.discard(link);
    });
    this.links.push(link);
    return link;
  }

  private exchange(link: Link, request: ExchangeRequest, listener: ExchangeListener): Exchange {
    let isSent = false;
    let isOver = false;
    let controller: Dispatcher.DispatchController | undefined;
    const finish = (isReusable: boolean, report: () => void) => {
      if (isOver) return;
      isOver = true;
      this.release(link, isReusable);
      report();
    };
    link.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: request.headers as string[],
        body: request.body ?? null,
      },
      {
        onRequestStart: (started) => {
          controller = started;
          // A second start would send the request again on another connection.
          if (isSent || isOver) started.abort(new Error('request was already sent'));
          isSent = true;
        },
        onResponseStart: (current, status) => {
          if (status < 200 || isOver) return;
          listener.onHead(status, textHeaders(current.rawHeaders));
        },
        onResponseData: (_current, chunk) => {
          if (!isOver) listener.onData(chunk);
        },
        onResponseEnd: () => {
          const { hasFailed } = link;
          finish(!hasFailed, () => {
            if (hasFailed) listener.onFailure({ kind: 'broken', message: 'connection reset' });
            else listener.onEnd();
          });
        },
        onResponseError: (_current, error) => {
          const kind = isSent ? 'broken' : 'unsent';
          finish(false, () => listener.onFailure({ kind, message: error.message }));
        },
      },
    );
    return {
      abort: () => finish(false, () => undefined),
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  private release(link: Link, isReusable: boolean): void {
    link.giveBack(this.clock.now());
    if (!isReusable || this.isClosed || link.client.destroyed) this.discard(link);
  }

  private discard(link: Link): void {
    const index = this.links.indexOf(link);
    if (index >= 0) this.links.splice(index, 1);
    // A destroyed client reports nothing that is still of interest.
    link.client.destroy().catch(() => undefined);
  }
}

function textHeaders(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map((part) => part.toString('latin1')) : [];
}

/**
 * Tells of a connection that was reset. If the reset arrives together with data, Node.js reports the
 * end of the stream and no error; the kernel then no longer knows the peer of the socket.
 */
function watchForReset(socket: Socket, onReset: () => void): void {
  socket.once('error', onReset);
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
