import { timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http';
import { MAX_BODY_BYTES } from '../common/BoundedBody.js';
import { sha256 } from '../common/Digest.js';
import { ATTEMPT_PATH } from '../common/protocol/Attempt.js';
import { INTERNAL_TOKEN_HEADER, TRPC_PATH, type AgentControl } from '../common/protocol/Control.js';
import type { Logger } from '../telemetry/Logger.js';
import { createAgentRouter } from './AgentRouter.js';

/**
 * Idle connections are kept open longer than clients keep them, so that the client closes first and
 * no request is sent on a connection that the server is closing.
 */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

type Handler = (request: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Options of {@link AgentServer}. */
export interface AgentServerOptions {
  readonly internalToken: string;
  readonly control: AgentControl;
  readonly handleAttempt: Handler;
  readonly handleMetrics: Handler;
  readonly isReady: () => boolean;
  readonly logger: Logger;
}

/** HTTP server of the agent: attempts, tRPC calls, health and metrics. */
export class AgentServer {
  private readonly server: Server;

  private readonly tokenDigest: string;

  private readonly router;

  /** Handlers by method and path; tRPC requests are matched by path prefix instead. */
  private readonly handlers: ReadonlyMap<string, Handler>;

  /** @param options - handlers and token */
  constructor(private readonly options: AgentServerOptions) {
    this.tokenDigest = digestOf(options.internalToken);
    this.router = createAgentRouter(options.control);
    this.handlers = new Map<string, Handler>([
      [`POST ${ATTEMPT_PATH}`, this.requireToken(options.handleAttempt)],
      ['GET /healthz', (_request, response) => sendText(response, 200, 'ok')],
      ['GET /readyz', (_request, response) => this.handleReadiness(response)],
      ['GET /metrics', options.handleMetrics],
    ]);
    const handleTrpc = this.requireToken((request, response) => this.handleTrpc(request, response));
    this.server = createServer((request, response) => {
      const path = (request.url ?? '').split('?')[0]!;
      const handler = path.startsWith(`${TRPC_PATH}/`)
        ? handleTrpc
        : this.handlers.get(`${request.method} ${path}`);
      this.dispatch(handler, request, response);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /**
   * Starts listening.
   * @param address - `ip:port`; port 0 selects a free one
   * @returns `ip:port` in use
   * @throws Error of the system if the address cannot be used
   */
  listen(address: string): Promise<string> {
    const separator = address.lastIndexOf(':');
    const ip = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip.replace(/[[\]]/g, ''), () => {
        resolve(`${ip}:${(this.server.address() as AddressInfo).port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private dispatch(
    handler: Handler | undefined,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (!handler) {
      sendText(response, 404, 'not found');
      return;
    }
    Promise.resolve(handler(request, response)).catch((error: unknown) => {
      this.options.logger.warn('request failed', { url: request.url, error });
      if (!response.headersSent) sendText(response, 500, 'internal error');
      else response.destroy();
    });
  }

  private requireToken(handler: Handler): Handler {
    return (request, response) => {
      const header = request.headers[INTERNAL_TOKEN_HEADER];
      const token = typeof header === 'string' ? header.replace(/^Bearer /, '') : '';
      // The constant-time comparison needs inputs of equal length, so digests are compared.
      const isValid = timingSafeEqual(Buffer.from(digestOf(token)), Buffer.from(this.tokenDigest));
      return isValid ? handler(request, response) : sendText(response, 401, 'unauthenticated');
    };
  }

  private handleTrpc(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url!.split('?')[0]!.slice(TRPC_PATH.length + 1);
    return nodeHTTPRequestHandler({
      router: this.router,
      createContext: () => ({}),
      req: request,
      res: response,
      path,
      maxBodySize: MAX_BODY_BYTES,
    });
  }

  private handleReadiness(response: ServerResponse): void {
    if (this.options.isReady()) sendText(response, 200, 'ready');
    else sendText(response, 503, 'not ready');
  }
}

function digestOf(token: string): string {
  return sha256(token);
}

function sendText(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' });
  response.end(`${text}\n`);
}
