import { Agent } from 'undici';
import type { CallOptions, PlatformError, PlatformResult } from './Types.js';

/** Connections kept per service. More calls at once wait for a free connection. */
const MAX_CONNECTIONS = 32;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
const STATUS_CONFLICT = 409;
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

/** One call of a platform service. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /** True if the call changes state, so that a missing response leaves its outcome open. */
  readonly isWrite: boolean;
}

/** Response of a platform service with a status below 300, or one of 404 and 409. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
}

/** HTTP client of one platform service: sends calls and maps failures to {@link PlatformError}. */
export class HttpCaller {
  private readonly origin: string;

  private readonly pathPrefix: string;

  private agent = createAgent();

  /** @param baseUrl - URL of the service; paths of calls are appended to it */
  constructor(baseUrl: string) {
    const url = new URL(baseUrl);
    this.origin = url.origin;
    this.pathPrefix = url.pathname.replace(/\/+$/, '');
  }

  /**
   * Sends a call once.
   * @param call - method, path and body
   * @param options - time-out, which covers connecting and the whole response
   * @returns status and body, or the error of a call that gave none
   */
  async call(call: HttpCall, options: CallOptions): Promise<PlatformResult<HttpAnswer>> {
    const { agent } = this;
    const abort = new AbortController();
    const timer = setTimeout(() => abort.abort(), options.timeoutMs);
    try {
      const response = await agent.request({
        origin: this.origin,
        path: this.pathPrefix + call.path,
        method: call.method,
        body: call.body,
        headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
        signal: abort.signal,
      });
      const text = await response.body.text();
      return resultOf(call, { status: response.statusCode, text });
    } catch (error) {
      if (abort.signal.aborted) {
        this.replaceAgent(agent);
        return failure(call, `no response within ${options.timeoutMs} ms`);
      }
      const message = error instanceof Error ? error.message : String(error);
      return isConnectError(error) ? unavailable(message) : failure(call, message);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  /**
   * Leaves the connections of an agent on which a call timed out. The other idle connections may
   * have gone silent with the first, and each would cost one more time-out. Calls in progress on
   * them may finish.
   */
  private replaceAgent(agent: Agent): void {
    if (agent !== this.agent) return;
    this.agent = createAgent();
    agent.close().catch(() => undefined);
  }
}

function createAgent(): Agent {
  // The time-out of the call bounds headers and body, so undici's own time-outs are off.
  return new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

function resultOf(call: HttpCall, answer: HttpAnswer): PlatformResult<HttpAnswer> {
  const { status } = answer;
  if (status < 300 || status === 404 || status === STATUS_CONFLICT) {
    return { ok: true, value: answer };
  }
  const message = `status ${status}: ${answer.text.slice(0, 200)}`;
  // A 503 or a 4xx says that nothing was done; any other 5xx leaves that open.
  const isWithoutEffect = status === STATUS_UNAVAILABLE || status < STATUS_SERVER_ERROR;
  return isWithoutEffect ? unavailable(message) : failure(call, message);
}

/** True if the connection was never established, so that no byte of the call was sent. */
function isConnectError(error: unknown): boolean {
  const { code, syscall } = error as { code?: string; syscall?: string };
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

function unavailable(message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: 'unavailable', message } };
}

function failure(call: HttpCall, message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: call.isWrite ? 'ambiguous' : 'unavailable', message } };
}
