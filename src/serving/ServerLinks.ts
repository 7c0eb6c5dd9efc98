import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { Link } from './Link.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';

/** Time-out for connecting, in ms. Connecting takes a few ms; the rest covers one lost packet. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which a TCP keep-alive probe is sent, in ms. */
const PROBE_DELAY_MS = 1000;

/** Time after which idle connections are closed, in ms, unless the server asks for less. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Idle time before a connection is reused, in ms. A surplus response to the previous request is
 * received within this time and is detected before the next request is sent.
 */
const SETTLE_MS = 30;

/** A request to send to a backend server. */
export interface ExchangeRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body?: Buffer | string;
  /**
   * Whether to open a new connection. Set for requests that must not run twice: a reused connection
   * may be stale, and a failure on it does not show whether the request ran.
   */
  readonly needsFreshConnection: boolean;
}

/**
 * Failure of an exchange. `unsent`: no byte of the request was sent. `broken`: the request was sent
 * and may have run, but the response is missing or incomplete.
 */
export interface ExchangeFailure {
  readonly kind: 'unsent' | 'broken';
  readonly message: string;
}

/** Receives the parts of a response. */
export interface ExchangeListener {
  onHead(status: number, headers: string[]): void;
  onData(chunk: Buffer): void;
  /** Called when the body has ended and is complete according to its framing. */
  onEnd(): void;
  /** Called instead of {@link onEnd} if the exchange failed. */
  onFailure(failure: ExchangeFailure): void;
}

/** A request in progress. */
export interface Exchange {
  /** Closes the connection. The listener is not called any more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Pool of connections to one backend server, each used by one request at a time. */
export class ServerLinks {
  private readonly links: Link[] = [];

  private isClosed = false;

  /**
   * @param server - backend server
   * @param clock - time source
   * @param maxLinks - most connections that this process may open to the server
   */
  constructor(
    readonly server: BackendServer,
    private readonly clock: Clock,
    private readonly maxLinks: () => number,
  ) {}

  /**
   * Sends a request.
   * @param request - request to send
   * @param listener - receives the response
   * @returns exchange in progress; undefined if all connections of the pool are in use
   */
  send(request: ExchangeRequest, listener: ExchangeListener): Exchange | undefined {
    const link = this.acquire(request.needsFreshConnection);
    if (!link) return undefined;
    link.take();
    return this.exchange(link, request, listener);
  }

  /** Closes idle connections now and each other one when its request ends. */
  close(): void {
    this.isClosed = true;
    this.links.filter(({ isBusy }) => !isBusy).forEach((link) => this.discard(link));
  }

  private acquire(isFresh: boolean): Link | undefined {
    const settledBefore = this.clock.now() - SETTLE_MS;
    const idle = this.links.filter((link) => !link.isBusy && link.idleSince <= settledBefore);
    // Reuses the connection that was idle the longest, which keeps the others open for bursts.
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
          // Registered before the listeners of undici, so that the flag is set when the body ends.
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
          // A second start means that undici sends the request again on another connection.
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
    // Its requests have ended, so errors of the destroyed client are irrelevant.
    link.client.destroy().catch(() => undefined);
  }
}

function textHeaders(headers: unknown): string[] {
  return Array.isArray(headers) ? headers.map((part) => part.toString('latin1')) : [];
}

/**
 * Calls `onReset` when the peer resets the connection. If the reset arrives together with data,
 * Node.js reports the end of the stream and no error. The kernel then no longer knows the peer, so
 * the remote address of the socket is undefined.
 */
function watchForReset(socket: Socket, onReset: () => void): void {
  socket.once('error', onReset);
  socket.once('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}
