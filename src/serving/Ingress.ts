import { setTimeout as sleep } from 'node:timers/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Cancellation } from '../common/events/Cancellation.js';
import { RUNNING_SHARE } from '../common/requests/HeldBytes.js';
import type { RouteTable } from '../common/serving/RouteTable.js';
import type { RequestLimits, Route } from '../common/serving/ServingConfiguration.js';
import { UsualDeadlines } from '../common/serving/UsualDeadlines.js';
import type { Clock } from '../common/time/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { CallerConnection } from './CallerConnection.js';
import type { CallerRequest } from './CallerRequest.js';
import { CALLER_ROUND_TRIP_MS, callerWaitMs } from './CallerWait.js';
import {
  CallerResponse,
  NOT_RUN_STATUS,
  TIMED_OUT_STATUS,
  type ErrorResponse,
} from './CallerResponse.js';
import type { ClientHandling } from './createClientHandling.js';
import { announcedBytes, headerValue } from './HttpHeaders.js';
import { RequestTrace } from './RequestTrace.js';
import { ResponseDelivery } from './ResponseDelivery.js';
import type { ServingMetrics } from './ServingMetrics.js';
import type { RequestAttributes, ServingProtocol } from './Types.js';

/** Largest request headers, in bytes. Fixed at start, before the configuration is known. */
const MAX_HEADER_BYTES = 16_384;

/** Interval at which Node.js checks connections for time-outs, in ms. */
const CONNECTION_CHECK_MS = 500;

/** Added to the idle time-out, in ms, so that callers close idle connections first. */
const IDLE_MARGIN_MS = 500;

/** Retry-After before the first configuration, in ms; a process reads it in about a second. */
const NO_CONFIGURATION_RETRY_MS = 1000;

/** Refusal of requests that are sent without waiting for the responses to earlier ones. */
const PIPELINED: ErrorResponse = {
  status: NOT_RUN_STATUS,
  reason: 'too many requests on the connection',
  retryAfterMs: 0,
  mustClose: true,
};

/** Bytes of a body that are read before the first configuration, so that its connection is kept. */
const NO_CONFIGURATION_BODY_BYTES = 64 * 1024;

/** Interval at which slow clients are looked for, in ms. */
const SLOW_CHECK_MS = 250;

/** Refusal of a process that stops. Another one can serve the request at once. */
const STOPPING: ErrorResponse = { status: NOT_RUN_STATUS, reason: 'stopping', retryAfterMs: 0 };

/** Connections waiting to be accepted; sized for bursts of callers that connect at once. */
const LISTEN_BACKLOG = 1024;

/** Time allowed to flush the responses of requests that were ended early, in ms. */
const FINAL_FLUSH_MS = 50;

/** Dependencies of {@link Ingress}. */
export interface IngressServices {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly protocol: ServingProtocol;
  readonly metrics: ServingMetrics;
  readonly clients: ClientHandling;
  readonly routeTable: () => RouteTable | undefined;
  readonly isStopping: () => boolean;
  /** @returns time at which pending requests are ended by a stop, on the clock; Infinity without one */
  readonly stopsAt: () => number;
  readonly serve: (request: CallerRequest) => Promise<void>;
}

/** A request whose head has arrived. */
interface IncomingCall {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly connection: CallerConnection;
  readonly delivery: ResponseDelivery;
  /** Whether the caller waits before it sends the body. */
  readonly expectsContinue: boolean;
  /** Cancelled when the response is complete or the connection closed. */
  readonly ended: Cancellation;
}

/** Accepts callers' connections, and reads, authenticates and routes their requests. */
export class Ingress {
  private readonly server: Server;

  private runningCount = 0;

  /** Whether the process is about to exit and runs no further request. */
  private hasEnded = false;

  /** Callbacks that each end one request without a final response, for the given reason. */
  private readonly endCallbacks = new Set<(reason: string) => void>();

  private nextId = 1;

  private readonly usualDeadlines: UsualDeadlines;

  /** Time within which clients must make progress, in ms; that of idle connections. */
  private stallMs = Infinity;

  private slowCheckTimer: NodeJS.Timeout | undefined;

  constructor(private readonly services: IngressServices) {
    this.usualDeadlines = new UsualDeadlines(services.clock);
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      noDelay: true,
    });
    const { connections } = services.clients;
    this.server.on('connection', (socket) => connections.accept(socket));
    this.server.on('request', (request, response) => this.accept(request, response, false));
    this.server.on('checkContinue', (request, response) => this.accept(request, response, true));
  }

  /** Number of requests without a final response. */
  get requestsRunning(): number {
    return this.runningCount;
  }

  listen(ip: string, port: number): Promise<void> {
    this.slowCheckTimer = setInterval(() => this.closeSlow(), SLOW_CHECK_MS);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host: ip, port, backlog: LISTEN_BACKLOG }, resolve);
    });
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: RequestLimits): void {
    const { heldBytes } = this.services.clients.limits;
    if (limits.bodyBytes > heldBytes * RUNNING_SHARE) {
      const { bodyBytes } = limits;
      this.services.logger.warn('bodies up to the limit cannot be held', { bodyBytes, heldBytes });
    }
    this.stallMs = limits.idleTimeoutMs;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.requestTimeout = limits.headerTimeoutMs + limits.idleTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Stops accepting connections and closes idle ones; the others close after their response. */
  stopAccepting(): void {
    if (this.server.listening) this.server.close();
    this.server.closeIdleConnections();
  }

  /** Responds to all pending requests, so that callers receive more than a closed connection. */
  async endPendingRequests(): Promise<void> {
    // Connections without a request so far are still open, and the exit does not wait for them.
    this.hasEnded = true;
    [...this.endCallbacks].forEach((end) => end('stopping'));
    await sleep(FINAL_FLUSH_MS);
  }

  /** Closes all connections immediately. */
  dispose(): void {
    clearInterval(this.slowCheckTimer);
    this.services.clients.connections.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private closeSlow(): void {
    const { heldBytes, connections } = this.services.clients;
    heldBytes.evictSlow(this.stallMs);
    connections.closeFinished();
  }

  private accept(
    message: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    const { clients, clock } = this.services;
    const connection = clients.connections.of(message.socket);
    // A connection that is closed after an earlier response gets no further one.
    if (!connection || connection.isClosing) return;
    const delivery = new ResponseDelivery(clients, response, connection);
    const ended = new Cancellation();
    this.runningCount += 1;
    connection.addRequest(response, clock.now(), () => {
      this.runningCount -= 1;
      delivery.dispose();
      ended.cancel();
    });
    const call = { message, response, connection, delivery, expectsContinue, ended };
    this.handle(call).catch((error: unknown) => {
      this.services.logger.error('request handling failed', { error });
      response.destroy();
    });
  }

  private async handle(call: IncomingCall): Promise<void> {
    const { clock, protocol, routeTable, isStopping, metrics, clients } = this.services;
    const { message, response, connection, delivery } = call;
    const receivedAt = clock.now();
    const attributes = protocol.parseRequest(message.rawHeaders);
    const { attemptId } = attributes;
    const callerResponse = new CallerResponse(response, protocol, attemptId, isStopping, delivery);
    if (connection.requestsRunning > clients.limits.pipelinedRequests) {
      clients.refusals.record(connection.address, 'pipelining');
      this.refuse(call, callerResponse, PIPELINED, attemptId);
      return;
    }
    if (this.hasEnded) {
      this.refuseUnread(call, callerResponse, STOPPING, attemptId);
      return;
    }
    const routes = routeTable();
    if (!routes) {
      const retryAfterMs = NO_CONFIGURATION_RETRY_MS;
      const reason = 'no configuration yet';
      this.refuseUnread(call, callerResponse, { status: NOT_RUN_STATUS, reason, retryAfterMs });
      return;
    }
    const target = message.url ?? '/';
    const route = routes.route(headerValue(message.rawHeaders, 'host') ?? '', target);
    if (!route) {
      this.refuseUnread(call, callerResponse, { status: 404, reason: 'no such route' }, attemptId);
      return;
    }
    const account = routes.account(attributes.apiKey);
    if (!account && routes.requiresKey && !route.isPublic) {
      this.refuseUnread(call, callerResponse, { status: 401, reason: 'unknown key' }, attemptId);
      return;
    }
    const deadlineAt = receivedAt + Math.min(route.timeoutMs, attributes.deadlineMs ?? Infinity);
    const cancellation = new Cancellation();
    const trace = new RequestTrace(receivedAt);
    let isBodyRead = false;
    const end = (reason: string) => {
      cancellation.cancel();
      const cause = { reason, mayHaveRun: trace.mayHaveRun, mustClose: !isBodyRead };
      this.endEarly(call, callerResponse, cause, attemptId, route);
    };
    const timer = setTimeout(end, deadlineAt - clock.now(), 'time-out');
    this.endCallbacks.add(end);
    call.ended.onCancelled(() => {
      clearTimeout(timer);
      this.endCallbacks.delete(end);
      cancellation.cancel();
      metrics.recordRequest(route.name, response.statusCode, clock.now() - receivedAt);
      this.logEnd(response, route, attemptId, clock.now() - receivedAt, trace);
    });
    const body = await clients.bodies.read(message, connection, {
      maxBytes: routes.configuration.limits.bodyBytes,
      cancellation,
      ...(call.expectsContinue && { onExpected: () => response.writeContinue() }),
      onRefused: (error) => this.refuse(call, callerResponse, error, attemptId),
    });
    if (!body) return;
    isBodyRead = true;
    // A request that could outlast this process would be cut by its exit, even if it ran.
    const isTooLate = deadlineAt > this.services.stopsAt();
    if (isTooLate) this.refuse(call, callerResponse, STOPPING, attemptId);
    if (isTooLate || cancellation.isCancelled) {
      body.release();
      return;
    }
    const id = `${this.nextId}`;
    this.nextId += 1;
    const request: CallerRequest = {
      id,
      route,
      ...(account && { account }),
      attributes,
      method: message.method ?? 'GET',
      target,
      headers: message.rawHeaders,
      body: body.bytes,
      response: callerResponse,
      configurationVersion: routes.version,
      receivedAt,
      deadlineAt,
      callerWaitsUntil: Math.min(deadlineAt, receivedAt + callerWaitMs(route)),
      dueAt: receivedAt - this.ageMs(route, attributes) + route.objectiveMs - CALLER_ROUND_TRIP_MS,
      priority: account?.priority ?? route.priority,
      cancellation,
      trace,
    };
    try {
      await this.services.serve(request);
    } finally {
      body.release();
    }
  }

  /** @returns estimated time since the caller's first attempt, in ms */
  private ageMs({ name, timeoutMs }: Route, { deadlineMs }: RequestAttributes): number {
    if (deadlineMs === undefined) return 0;
    return this.usualDeadlines.recordRequest(name, Math.min(deadlineMs, timeoutMs));
  }

  /** Ends a request at its deadline or on shutdown, without waiting for its backend server. */
  private endEarly(
    call: IncomingCall,
    callerResponse: CallerResponse,
    cause: { readonly reason: string; readonly mayHaveRun: boolean; readonly mustClose: boolean },
    attemptId: string | undefined,
    route: Route,
  ): void {
    if (callerResponse.isFinished) return;
    const { reason, mayHaveRun, mustClose } = cause;
    this.services.logger.info('request cut short', {
      request: attemptId,
      route: route.name,
      reason,
      mayHaveRun,
      hasStarted: callerResponse.hasStarted,
    });
    if (mustClose) this.services.clients.connections.closeAfterResponse(call.connection);
    const status = mayHaveRun ? TIMED_OUT_STATUS : NOT_RUN_STATUS;
    callerResponse.sendError({ status, reason, mustClose });
  }

  private refuse(
    call: IncomingCall,
    callerResponse: CallerResponse,
    error: ErrorResponse,
    attemptId?: string,
  ): void {
    const { clients, logger, routeTable } = this.services;
    const configurationVersion = routeTable()?.version;
    logger.info('request rejected', { request: attemptId, ...error, configurationVersion });
    if (error.mustClose) clients.connections.closeAfterResponse(call.connection);
    callerResponse.sendError(error);
  }

  /** Refuses a request whose body has not been read, and reads the body if the connection is kept. */
  private refuseUnread(
    call: IncomingCall,
    callerResponse: CallerResponse,
    error: ErrorResponse,
    attemptId?: string,
  ): void {
    const { message, connection, expectsContinue } = call;
    const { clients, routeTable } = this.services;
    const maxBytes = routeTable()?.configuration.limits.bodyBytes ?? NO_CONFIGURATION_BODY_BYTES;
    // A client that waits for 100 Continue may send the body or another request next.
    const mustClose = expectsContinue || announcedBytes(message.rawHeaders) > maxBytes;
    this.refuse(call, callerResponse, { ...error, mustClose }, attemptId);
    if (mustClose) return;
    clients.bodies.discard(message, connection, maxBytes, () => {
      clients.refusals.record(connection.address, 'body-size');
      clients.connections.closeAfterResponse(connection);
    });
  }

  private logEnd(
    response: ServerResponse,
    route: Route,
    attemptId: string | undefined,
    durationMs: number,
    trace: RequestTrace,
  ): void {
    const isComplete = response.writableFinished;
    this.services.logger.info('request ended', {
      request: attemptId,
      route: route.name,
      status: response.headersSent ? response.statusCode : undefined,
      isWhole: isComplete,
      durationMs: Math.round(durationMs),
      timeline: trace.timeline,
    });
  }
}
