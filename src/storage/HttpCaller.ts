import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';
import { Agent, type Dispatcher } from 'undici';
import { isConnectError } from '../common/ConnectError.js';
import type { CallOptions, PlatformError, PlatformResult } from './Types.js';

/** Connections kept per service. More calls at once wait for a free connection. */
const MAX_CONNECTIONS = 32;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;
/** The caller holds the content already (RFC 9110, `If-None-Match`). */
export const STATUS_NOT_MODIFIED = 304;
const STATUS_CONFLICT = 409;
const DEFAULT_KNOWN_STATUSES: readonly number[] = [STATUS_NOT_MODIFIED, 404, STATUS_CONFLICT];
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

const decompress = promisify(gunzip);

/** One call of a platform service. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /** Entity tag of the content held; the answer is 304 without a body if it is still current. */
  readonly ifNoneMatch?: string;
  /** Accepts a compressed answer; worth it only for answers of many kilobytes. */
  readonly acceptsGzip?: boolean;
  /** True if the call changes state, so that a missing response leaves its outcome open. */
  readonly isWrite: boolean;
  /** Statuses above 299 that are answers of this call and not failures. */
  readonly knownStatuses?: readonly number[];
}

/** Response of a platform service with a status below 300, or one that the call knows. */
export interface HttpAnswer {
  readonly status: number;
  readonly text: string;
  /** Entity tag of the content, if the service gives one. */
  readonly etag?: string;
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
    const exchange = this.exchange(agent, call, abort.signal);
    try {
      return resultOf(call, await Promise.race([exchange, rejectOnAbort(abort.signal)]));
    } catch (error) {
      if (abort.signal.aborted) {
        this.replaceAgent(agent);
        return failure(call, `no response within ${options.timeoutMs} ms`);
      }
      const message = error instanceof Error ? error.message : String(error);
      return isConnectError(error) ? unavailable(message) : failure(call, message);
    } finally {
      clearTimeout(timer);
      // An exchange that lost the race is aborted and fails later, unobserved.
      exchange.catch(() => undefined);
    }
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async exchange(agent: Agent, call: HttpCall, signal: AbortSignal): Promise<HttpAnswer> {
    const response = await agent.request({
      origin: this.origin,
      path: this.pathPrefix + call.path,
      method: call.method,
      body: call.body,
      headers: headersOf(call),
      signal,
    });
    const text = await readText(response);
    const { etag } = response.headers;
    const tag = typeof etag === 'string' ? { etag } : {};
    return { status: response.statusCode, text, ...tag };
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

/**
 * undici looks at the signal of a call that waits for a connection only once it gets one, which may
 * never happen. Such a call is not sent any more then.
 */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(new Error('timed out')), { once: true });
  });
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

async function readText(response: Dispatcher.ResponseData): Promise<string> {
  if (response.headers['content-encoding'] !== 'gzip') return response.body.text();
  const text = await decompress(await response.body.arrayBuffer());
  return text.toString('utf8');
}

function headersOf(call: HttpCall): Record<string, string> {
  return {
    ...(call.body !== undefined && { 'content-type': 'application/json' }),
    ...(call.ifNoneMatch !== undefined && { 'if-none-match': call.ifNoneMatch }),
    ...(call.acceptsGzip && { 'accept-encoding': 'gzip' }),
  };
}

function resultOf(call: HttpCall, answer: HttpAnswer): PlatformResult<HttpAnswer> {
  const { status } = answer;
  const known = call.knownStatuses ?? DEFAULT_KNOWN_STATUSES;
  if (status < 300 || known.includes(status)) {
    return { ok: true, value: answer };
  }
  const message = `status ${status}: ${answer.text.slice(0, 200)}`;
  // A 503 or a 4xx says that nothing was done; any other 5xx leaves that open.
  const isWithoutEffect = status === STATUS_UNAVAILABLE || status < STATUS_SERVER_ERROR;
  return isWithoutEffect ? unavailable(message) : failure(call, message);
}

function unavailable(message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: 'unavailable', message } };
}

function failure(call: HttpCall, message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: call.isWrite ? 'ambiguous' : 'unavailable', message } };
}
