import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer, type AddressInfo } from 'node:net';
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http';
import { MAX_BODY_BYTES } from '../common/BoundedBody.js';
import { INTERNAL_TOKEN_HEADER, TRPC_PATH } from '../common/protocol/Control.js';
import type { Logger } from '../telemetry/Logger.js';
import type { EntryRouter } from './EntryRouter.js';
import { sendJson } from './HttpBody.js';

/** Longest time to receive a request, so that slow senders do not occupy connections. */
const REQUEST_TIMEOUT_MS = 15_000;

/** Handles a request; resolves to false if the path does not belong to the handler. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<boolean>;

/** Options of {@link EntryServer}. */
export interface EntryServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly internalToken: string;
  readonly router: EntryRouter;
  /** Handler of paths under `/v1/pipelines/`. */
  readonly callers: Handler;
  /** Handler of paths under `/v1/operator/`. */
  readonly operators: Handler;
  readonly metrics: (request: IncomingMessage, response: ServerResponse) => void;
  /** @returns reasons why this entry is not ready for requests; empty if it is. */
  readonly findNotReadyReasons: () => string[];
  readonly logger: Logger;
}

/** HTTP server of the entry: routes requests by path and authenticates internal calls. */
export class EntryServer {
  private readonly server: Server;

  private closing = false;

  private readonly routes: readonly (readonly [prefix: string, handler: Handler])[];

  constructor(private readonly options: EntryServerOptions) {
    this.routes = [
      ['/v1/pipelines/', options.callers],
      ['/v1/operator/', options.operators],
      [`${TRPC_PATH}/`, (request, response) => this.handleInternal(request, response)],
      ['/healthz', (_request, response) => this.respond(response, 200, { status: 'ok' })],
      ['/readyz', (_request, response) => this.handleReadiness(response)],
      ['/metrics', (request, response) => this.handleMetrics(request, response)],
    ];
    this.server = createServer((request, response) => {
      this.route(request, response).catch((error: unknown) => this.handleError(error, response));
    });
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
  }

  /**
   * Starts listening.
   * @returns `ip:port` that the server listens on
   */
  async listen(): Promise<string> {
    const { host, port } = splitAddress(this.options.address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    const bound = this.server.address() as AddressInfo;
    return bound.family === 'IPv6'
      ? `[${bound.address}]:${bound.port}`
      : `${bound.address}:${bound.port}`;
  }

  /**
   * Stops accepting connections; responses on open connections ask the client to close them. Calls
   * `close` of the net server, because that of the HTTP server destroys connections whose response
   * was ended but not yet sent.
   */
  stopListening(): void {
    this.closing = true;
    NetServer.prototype.close.call(this.server);
  }

  /** Closes all connections, including those with requests in progress. */
  closeAllConnections(): void {
    this.server.closeAllConnections();
  }

  private async route(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.closing) response.setHeader('connection', 'close');
    const path = (request.url ?? '').split('?')[0]!;
    const route = this.routes.find(([prefix]) =>
      prefix.endsWith('/') ? path.startsWith(prefix) : path === prefix,
    );
    const handled = route ? await route[1](request, response) : false;
    if (!handled) sendNotFound(response, path);
  }

  private async handleInternal(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    const token = request.headers[INTERNAL_TOKEN_HEADER];
    if (!isSameSecret(String(token ?? ''), `Bearer ${this.options.internalToken}`)) {
      return this.respond(response, 401, { error: 'the internal token is missing or wrong' });
    }
    const path = (request.url ?? '').slice(TRPC_PATH.length + 1).split('?')[0]!;
    await nodeHTTPRequestHandler({
      router: this.options.router,
      req: request,
      res: response,
      path,
      maxBodySize: MAX_BODY_BYTES,
      createContext: () => ({}),
    });
    return true;
  }

  private handleReadiness(response: ServerResponse): Promise<boolean> {
    const reasons = this.options.findNotReadyReasons();
    const ready = reasons.length === 0;
    return this.respond(response, ready ? 200 : 503, { ready, reasons });
  }

  private async handleMetrics(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<boolean> {
    this.options.metrics(request, response);
    return true;
  }

  private async respond(response: ServerResponse, status: number, body: unknown): Promise<boolean> {
    sendJson(response, status, body);
    return true;
  }

  private handleError(error: unknown, response: ServerResponse): void {
    this.options.logger.error('request handler failed', {
      reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
    });
    if (response.headersSent) response.destroy();
    else sendJson(response, 500, { error: 'internal error' });
  }
}

function sendNotFound(response: ServerResponse, path: string): void {
  const message = `unknown path "${path}"`;
  sendJson(response, 404, { error: { kind: 'not-found', outcome: 'not-run', message } });
}

function splitAddress(address: string): { host: string; port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

function isSameSecret(received: string, expected: string): boolean {
  const digest = (text: string) => createHash('sha256').update(text).digest();
  return timingSafeEqual(digest(received), digest(expected));
}
