import type { Socket } from 'node:net';
import { buildConnector, Client, type Dispatcher } from 'undici';
import { ResponseBuffer } from '../common/response/ResponseBuffer.js';
import type { ResponseMemory } from '../common/response/ResponseMemory.js';
import type { BufferLimit, ResponseLimits } from '../common/response/Types.js';
import { PooledConnection } from './PooledConnection.js';
import type { BackendServer } from '../common/serving/ServingConfiguration.js';
import type { Clock } from '../common/time/Types.js';

/** Time-out for connecting, in ms. Connecting takes a few ms; the rest covers one lost packet. */
const CONNECT_TIMEOUT_MS = 400;

/** Idle time after which a TCP keep-alive probe is sent, in ms. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;

/** Time after which idle connections are closed, in ms, unless the server asks for less. */
const IDLE_TIMEOUT_MS = 4000;

/**
 * Idle time before a connection is reused, in ms. A surplus response to the previous request is
 * received within this time and is detected before the next request is sent.
 */
const REUSE_DELAY_MS = 30;

/** Interval at which the bytes that a server sends outside bodies are checked, in ms. */
const FRAMING_CHECK_INTERVAL_MS = 250;

/**
 * Bytes outside the body for each byte of it, from which on a response counts as faulty. Each chunk
 * costs a call, whatever its size.
 */
const MAX_FRAMING_RATIO = 2;

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
  readonly needsNewConnection: boolean;
}

/**
 * Failure of an exchange. `unsent`: no byte of the request was sent. `broken`: the request was sent
 * and may have run, but the response is missing or incomplete.
 */
export interface ExchangeFailure {
  readonly kind: 'unsent' | 'broken';
  readonly message: string;
  /** Whether the server closed or reset the connection, as it also does when it ends. */
  readonly isConnectionLost: boolean;
}

/** Receives the parts of a response. */
export interface ExchangeListener {
  /**
   * Called with the final status, not with informational ones.
   * @param headers - names and values alternating
   */
  onHead(status: number, headers: string[]): void;
  onData(chunk: Buffer): void;
  /**
   * Called when the body has ended and is complete according to its framing.
   * @returns whether the response belongs to the request, so that the connection may be used again
   */
  onEnd(): boolean;
  /** Called instead of {@link onEnd} if the exchange failed. */
  onFailure(failure: ExchangeFailure): void;
}

/** A request in progress. */
export interface Exchange {
  /** Closes the connection. The listener is not called any more. */
  abort(): void;
  /** Stops reading the response until {@link resume} is called. */
  pause(): void;
  resume(): void;
}

/** Observes all requests to backend servers, also the system's own, and their responses. */
export interface TrafficObserver {
  /** Called before a request is sent. */
  onRequest(server: BackendServer): void;
  /**
   * Called with the head of each final response.
   * @param server - server that sent it
   * @param status - HTTP status
   * @param headers - names and values alternating
   */
  onResponse(server: BackendServer, status: number, headers: readonly string[]): void;
  /** Called when the server refuses a connection. */
  onRefusedConnection(server: BackendServer): void;
}

/** Limits and observers that all pools of a process share. */
export interface PoolLimits {
  readonly responses: ResponseLimits;
  /** Memory of all responses that the process buffers. */
  readonly memory: ResponseMemory;
  readonly traffic?: TrafficObserver;
}

/** Pool of connections to one backend server, each used by one request at a time. */
export class ServerConnectionPool {
  private readonly connections: PooledConnection[] = [];

  private isClosed = false;

  /**
   * @param server - backend server
   * @param clock - time source
   * @param maxConnections - most connections that this process may open to the server
   * @param limits - limits of the responses
   */
  constructor(
    readonly server: BackendServer,
    private readonly clock: Clock,
    private readonly maxConnections: () => number,
    private readonly limits: PoolLimits,
  ) {}

  /** Number of open connections. */
  get size(): number {
    return this.connections.length;
  }

  /** Limits of the responses. */
  get responseLimits(): ResponseLimits {
    return this.limits.responses;
  }

  /**
   * @param name - name of the limit that applies
   * @param onOverflow - called with the reason if the limit is exceeded
   * @param maxBytes - most bytes that were asked for, if that is less than the limit
   * @returns buffer for the bytes of one response
   */
  createBuffer(
    name: BufferLimit,
    onOverflow: (reason: string) => void,
    maxBytes = Infinity,
  ): ResponseBuffer {
    const { responses, memory } = this.limits;
    const bytes = Math.min(responses[name], maxBytes);
    return new ResponseBuffer(memory, { name, bytes }, onOverflow);
  }

  /**
   * Sends a request.
   * @param request - request to send
   * @param listener - receives the response
   * @returns exchange in progress; undefined if all connections of the pool are in use
   */
  send(request: ExchangeRequest, listener: ExchangeListener): Exchange | undefined {
    const connection = this.acquire(request.needsNewConnection);
    if (!connection) return undefined;
    connection.markBusy();
    return this.startExchange(connection, request, listener);
  }

  /** Closes idle connections now and each other one when its request ends. */
  close(): void {
    this.isClosed = true;
    this.connections
      .filter(({ isBusy }) => !isBusy)
      .forEach((connection) => this.discard(connection));
  }

  private acquire(needsNew: boolean): PooledConnection | undefined {
    const latestIdleSince = this.clock.now() - REUSE_DELAY_MS;
    const idle = this.connections.filter(
      (connection) => !connection.isBusy && connection.idleSince <= latestIdleSince,
    );
    // Reuses the connection that was idle the longest, which keeps the others open for bursts.
    const [oldest] = idle.sort((left, right) => left.idleSince - right.idleSince);
    if (!needsNew && oldest) return oldest;
    if (this.connections.length >= this.maxConnections()) {
      if (!oldest) return undefined;
      this.discard(oldest);
    }
    return this.open();
  }

  private open(): PooledConnection {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: KEEP_ALIVE_PROBE_DELAY_MS,
    });
    const client = new Client(`http://${this.server.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: 500,
      maxHeaderSize: this.limits.responses.headBytes,
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          // Registered before the listeners of undici, so that the flag is set when the body ends.
          if (socket) {
            watchForReset(socket, () => connection.markFailed());
            connection.socket = socket;
          }
          callback(...result);
        }),
    });
    const connection = new PooledConnection(client, this.clock.now());
    client.on('disconnect', () => {
      if (!connection.isBusy) this.discard(connection);
    });
    this.connections.push(connection);
    return connection;
  }

  private startExchange(
    connection: PooledConnection,
    request: ExchangeRequest,
    listener: ExchangeListener,
  ): Exchange {
    let isSent = false;
    let hasEnded = false;
    let controller: Dispatcher.DispatchController | undefined;
    let informationalCount = 0;
    let bodyBytes = 0;
    const { responses, traffic } = this.limits;
    traffic?.onRequest(this.server);
    const receivedBefore = connection.receivedBytes;
    const finish = (isReusable: boolean, report: () => void) => {
      if (hasEnded) return;
      hasEnded = true;
      clearInterval(framingCheck);
      this.release(connection, isReusable);
      report();
    };
    const complete = () => {
      if (hasEnded) return;
      hasEnded = true;
      clearInterval(framingCheck);
      this.release(connection, listener.onEnd());
    };
    const fail = (message: string, isConnectionLost = false) =>
      finish(false, () => listener.onFailure({ kind: 'broken', message, isConnectionLost }));
    // The parser reports neither blank lines nor the framing of chunks, which may come without end.
    const checkFraming = () => {
      const framingBytes = connection.receivedBytes - receivedBefore - bodyBytes;
      const limit = Math.max(responses.framingBytes, MAX_FRAMING_RATIO * bodyBytes);
      if (framingBytes > limit) {
        fail(`response exceeds framingBytes of ${responses.framingBytes}: got ${framingBytes}`);
      }
    };
    const framingCheck = setInterval(checkFraming, FRAMING_CHECK_INTERVAL_MS);
    connection.client.dispatch(
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
          if (isSent || hasEnded) started.abort(new Error('request was already sent'));
          isSent = true;
        },
        onResponseStart: (current, status) => {
          if (hasEnded) return;
          if (status < 200) {
            informationalCount += 1;
            if (informationalCount <= responses.informationalResponses) return;
            fail(`more than ${responses.informationalResponses} informational responses`);
            return;
          }
          const headers = decodeHeaders(current.rawHeaders);
          traffic?.onResponse(this.server, status, headers);
          listener.onHead(status, headers);
        },
        onResponseData: (_current, chunk) => {
          bodyBytes += chunk.length;
          if (!hasEnded) listener.onData(chunk);
          if (!hasEnded) checkFraming();
        },
        onResponseEnd: () => {
          const { hasFailed } = connection;
          if (hasFailed) fail('connection reset', true);
          else complete();
        },
        onResponseError: (_current, error) => {
          const isConnectionLost = isSent && CONNECTION_LOST_CODES.has(errorCode(error));
          const kind = isSent ? 'broken' : 'unsent';
          if (!isSent && errorCode(error) === CODE_CONNECTION_REFUSED) {
            traffic?.onRefusedConnection(this.server);
          }
          const { message } = error;
          finish(false, () => listener.onFailure({ kind, message, isConnectionLost }));
        },
      },
    );
    return {
      abort: () => finish(false, () => undefined),
      pause: () => controller?.pause(),
      resume: () => controller?.resume(),
    };
  }

  private release(connection: PooledConnection, isReusable: boolean): void {
    connection.markIdle(this.clock.now());
    if (!isReusable || this.isClosed || connection.client.destroyed) this.discard(connection);
  }

  private discard(connection: PooledConnection): void {
    const index = this.connections.indexOf(connection);
    if (index >= 0) this.connections.splice(index, 1);
    // Its requests have ended, so errors of the destroyed client are irrelevant.
    connection.client.destroy().catch(() => undefined);
  }
}

/** Codes of errors that are caused by the server's end of the connection. */
const CONNECTION_LOST_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_SOCKET',
  'ECONNRESET',
  'EPIPE',
]);

const CODE_CONNECTION_REFUSED = 'ECONNREFUSED';

function errorCode(error: Error): string {
  return 'code' in error ? String(error.code) : '';
}

function decodeHeaders(headers: unknown): string[] {
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
