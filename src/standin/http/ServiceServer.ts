import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import type { FaultState } from '../FaultState.js';
import type { ServiceResponse, Route, Service } from '../Types.js';
import { BadRequestError } from './BadRequestError.js';
import { Call, type ResponseFault } from './Call.js';
import { ConnectionSet } from './ConnectionSet.js';

const NO_RESPONSE_FAULT: ResponseFault = { isLost: false, isTruncated: false };
const CONTROL_PREFIX = '/control/';

/**
 * HTTP server of one stand-in service. Injects faults, serves the control routes and counts calls.
 */
export class ServiceServer {
  private readonly server: Server;

  private readonly connections: ConnectionSet;

  private readonly callCounts: Record<string, number> = {};

  private readonly faultCounts: Record<string, number> = {};

  private readonly controlRoutes: Readonly<Record<string, Route>>;

  /**
   * @param service - service behind the server
   * @param state - faults of the service
   */
  constructor(
    private readonly service: Service,
    private readonly state: FaultState,
  ) {
    // Without timeouts, because a call with the fault `hang` must stay open until the client closes
    // it.
    this.server = createServer({ requestTimeout: 0, headersTimeout: 0, keepAliveTimeout: 0 });
    this.server.on('request', (request, response) => {
      this.handleRequest(request, response).catch((error: unknown) => sendError(response, error));
    });
    this.connections = new ConnectionSet(this.server);
    this.controlRoutes = { ...this.createControlRoutes(), ...service.controlRoutes };
  }

  /**
   * Starts listening.
   * @param host - IP address
   * @param port - port; with 0 the operating system chooses one
   * @returns listen address, `ip:port`
   */
  async listen(host: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
    });
    const address = this.server.address() as AddressInfo;
    return address.family === 'IPv6'
      ? `[${address.address}]:${address.port}`
      : `${address.address}:${address.port}`;
  }

  /** Stops the service and closes all connections. */
  async close(): Promise<void> {
    this.service.dispose();
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.connections.destroyAll();
    await closed;
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    if (this.connections.isSilent(socket)) return;
    const method = request.method ?? 'GET';
    const url = new URL(request.url ?? '/', 'http://standin');
    const path = url.pathname;
    const isControl = path.startsWith(CONTROL_PREFIX);
    const route = isControl
      ? this.controlRoutes[`${method} ${path}`]
      : this.service.route(method, path);
    const body = await text(request);
    if (!route) {
      send(response, { status: 404, body: { error: `no route for ${method} ${path}` } });
      return;
    }
    const createCall = (responseFault: ResponseFault): Call =>
      new Call(request, response, {
        path,
        query: url.searchParams,
        body,
        responseFault,
        isSilent: () => this.connections.isSilent(socket),
      });
    if (isControl) {
      await this.runRoute(createCall(NO_RESPONSE_FAULT), route);
      return;
    }
    increment(this.callCounts, `${method} ${routeLabel(path)}`);
    if (this.injectRequestFault(response)) return;
    const call = createCall(this.chooseResponseFault(route));
    const { delayMs } = this.state.faults;
    if (delayMs > 0) await sleep(delayMs);
    await this.runRoute(call, route);
  }

  private async runRoute(call: Call, route: Route): Promise<void> {
    const result = await route.handle(call);
    if (!result) return;
    if (call.responseFault.isLost) call.destroy();
    else if (call.responseFault.isTruncated) sendTruncated(call, result);
    else send(call.response, result);
  }

  /**
   * Injects the faults that prevent a call from taking effect. Returns true if one was injected.
   */
  private injectRequestFault(response: ServerResponse): boolean {
    const { faults } = this.state;
    if (faults.hang) {
      increment(this.faultCounts, 'hung');
      return true;
    }
    if (faults.outage) {
      increment(this.faultCounts, 'outage');
      send(response, { status: 503, body: { error: 'outage' } });
      return true;
    }
    if (this.state.shouldInject(faults.lostRequestShare)) {
      increment(this.faultCounts, 'lostRequest');
      response.socket?.destroy();
      return true;
    }
    if (this.state.shouldInject(faults.errorShare)) {
      increment(this.faultCounts, 'error');
      send(response, { status: 500, body: { error: 'injected error' } });
      return true;
    }
    return false;
  }

  private chooseResponseFault(route: Route): ResponseFault {
    const { faults } = this.state;
    const isLost = route.hasEffect && this.state.shouldInject(faults.lostAnswerShare);
    const isTruncated = !isLost && this.state.shouldInject(faults.truncatedShare);
    if (isLost) increment(this.faultCounts, 'lostAnswer');
    if (isTruncated) increment(this.faultCounts, 'truncated');
    return { isLost, isTruncated };
  }

  private createControlRoutes(): Record<string, Route> {
    const query = (read: () => unknown): Route => ({
      hasEffect: false,
      handle: () => ({ status: 200, body: read() }),
    });
    return {
      'GET /control/faults': query(() => this.state.faults),
      'GET /control/runs': query(() => this.service.runs()),
      'GET /control/counters': query(() => ({
        calls: this.callCounts,
        faults: this.faultCounts,
        ...this.service.counters(),
      })),
      'PUT /control/faults': {
        hasEffect: false,
        handle: (call) => {
          const merged = this.state.merge(call.parseBody(z.record(z.string(), z.unknown())));
          return merged.ok
            ? { status: 200, body: merged.faults }
            : { status: 400, body: { error: merged.message } };
        },
      },
      'POST /control/silence': {
        hasEffect: false,
        handle: (call) => {
          const { socket } = call.response;
          const silenced = socket ? this.connections.silenceAll(socket) : 0;
          return { status: 200, body: { silenced } };
        },
      },
    };
  }
}

function increment(counts: Record<string, number>, name: string): void {
  Object.assign(counts, { [name]: (counts[name] ?? 0) + 1 });
}

/** Returns the path without object keys and model names, to limit the number of counters. */
function routeLabel(path: string): string {
  const parts = path.split('/');
  return parts.slice(0, parts[1] === 'v1' ? 3 : 2).join('/');
}

function encode(result: ServiceResponse): {
  bytes: Buffer;
  headers: Record<string, string | number>;
} {
  const { body } = result;
  const isText = typeof body === 'string';
  const plain = () => Buffer.from(isText ? body : JSON.stringify(body));
  const bytes = Buffer.isBuffer(body) ? body : plain();
  return {
    bytes,
    headers: {
      'content-type': isText ? 'text/plain' : 'application/json',
      'content-length': bytes.length,
      ...result.headers,
    },
  };
}

function send(response: ServerResponse, result: ServiceResponse): void {
  const { bytes, headers } = encode(result);
  response.writeHead(result.status, headers).end(bytes);
}

function sendTruncated(call: Call, result: ServiceResponse): void {
  const { bytes, headers } = encode(result);
  call.response.writeHead(result.status, headers);
  call.response.write(bytes.subarray(0, Math.floor(bytes.length / 2)), () => call.destroy());
}

function sendError(response: ServerResponse, error: unknown): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const message = error instanceof Error ? error.message : String(error);
  send(response, {
    status: error instanceof BadRequestError ? 400 : 500,
    body: { error: message },
  });
}
