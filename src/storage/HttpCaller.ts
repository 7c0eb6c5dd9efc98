import { promisify } from 'node:util';
import { gunzip, type ZlibOptions } from 'node:zlib';
import { Agent, type Dispatcher } from 'undici';
import type { IncomingHttpHeaders } from 'undici/types/header.js';
import { MAX_BODY_BYTES, readBoundedBytes, readBoundedText } from '../common/BoundedBody.js';
import { isConnectError } from '../common/ConnectError.js';
import { TransferTimeout } from './TransferTimeout.js';
import type { CallOptions, PlatformError, PlatformResult } from './Types.js';

/** Maximum connections per service. Further concurrent calls wait for a free connection. */
const MAX_CONNECTIONS = 32;
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** The content is unchanged since the entity tag sent with `If-None-Match` (RFC 9110). */
export const STATUS_NOT_MODIFIED = 304;
const STATUS_CONFLICT = 409;
const DEFAULT_EXPECTED_STATUSES: readonly number[] = [STATUS_NOT_MODIFIED, 404, STATUS_CONFLICT];
const STATUS_SERVER_ERROR = 500;
const STATUS_UNAVAILABLE = 503;

const decompress = promisify<Buffer, ZlibOptions, Buffer>(gunzip);

/** One call to a platform service. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  /** Entity tag of the cached content; the response is 304 without a body if it is current. */
  readonly ifNoneMatch?: string;
  /** Accepts a compressed response; pays off only for responses of many kilobytes. */
  readonly acceptsGzip?: boolean;
  /** Whether the call changes state, so that its outcome is ambiguous without a response. */
  readonly isWrite: boolean;
  /** Statuses above 299 that are returned as responses and not as errors. */
  readonly expectedStatuses?: readonly number[];
}

/** Response with a status below 300 or one of {@link HttpCall.expectedStatuses}. */
export interface HttpResponse {
  readonly status: number;
  readonly text: string;
  /** Entity tag of the content, if the service sends one. */
  readonly etag?: string;
  /** Header values by name in lower case. */
  readonly headers: IncomingHttpHeaders;
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
   * @param options - time-outs, which cover connecting and receiving the complete response
   * @returns status and body, or the error of a failed call
   */
  async call(call: HttpCall, options: CallOptions): Promise<PlatformResult<HttpResponse>> {
    const { agent } = this;
    const abort = new AbortController();
    const onAbort = () => abort.abort();
    options.signal?.addEventListener('abort', onAbort, { once: true });
    const timeout = new TransferTimeout(options, () => abort.abort());
    const exchange = this.exchange(agent, call, abort.signal, timeout);
    try {
      return resultOf(call, await Promise.race([exchange, rejectOnAbort(abort.signal)]));
    } catch (error) {
      if (options.signal?.aborted) return failure(call, 'aborted');
      if (abort.signal.aborted) {
        this.replaceAgent(agent);
        return failure(call, timeout.description);
      }
      const message = error instanceof Error ? error.message : String(error);
      return isConnectError(error) ? unavailable(message) : failure(call, message);
    } finally {
      timeout.dispose();
      options.signal?.removeEventListener('abort', onAbort);
      // An exchange that lost the race is aborted; its later rejection is ignored.
      exchange.catch(() => undefined);
    }
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  private async exchange(
    agent: Agent,
    call: HttpCall,
    signal: AbortSignal,
    timeout: TransferTimeout,
  ): Promise<HttpResponse> {
    const response = await agent.request({
      origin: this.origin,
      path: this.pathPrefix + call.path,
      method: call.method,
      body: call.body,
      headers: headersOf(call),
      signal,
    });
    const text = await readText(response, timeout);
    const { statusCode: status, headers } = response;
    const { etag } = headers;
    return { status, text, headers, ...(typeof etag === 'string' && { etag }) };
  }

  /**
   * Replaces the connection pool after a time-out. The other idle connections may be dead as well,
   * and each would cost one more time-out. Calls in progress on the old pool may finish.
   */
  private replaceAgent(agent: Agent): void {
    if (agent !== this.agent) return;
    this.agent = createAgent();
    agent.close().catch(() => undefined);
  }
}

/**
 * Rejects when the signal aborts. undici checks the signal of a call that waits for a connection
 * only when the call gets one, which may never happen; an aborted call is not sent even then.
 */
function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(new Error('timed out')), { once: true });
  });
}

function createAgent(): Agent {
  // The time-out of the call covers headers and body, so the time-outs of undici are disabled.
  return new Agent({
    connections: MAX_CONNECTIONS,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function readText(
  { body, headers }: Dispatcher.ResponseData,
  timeout: TransferTimeout,
): Promise<string> {
  const parts = watchParts(body, timeout);
  if (headers['content-encoding'] !== 'gzip') return readBoundedText(parts, MAX_BODY_BYTES);
  const compressed = await readBoundedBytes(parts, MAX_BODY_BYTES);
  return (await decompress(compressed, { maxOutputLength: MAX_BODY_BYTES })).toString('utf8');
}

async function* watchParts(
  body: AsyncIterable<Buffer>,
  timeout: TransferTimeout,
): AsyncIterable<Buffer> {
  for await (const part of body) {
    timeout.recordPart(part.length);
    yield part;
  }
}

function headersOf(call: HttpCall): Record<string, string> {
  return {
    ...(call.body !== undefined && { 'content-type': 'application/json' }),
    ...(call.ifNoneMatch !== undefined && { 'if-none-match': call.ifNoneMatch }),
    ...(call.acceptsGzip && { 'accept-encoding': 'gzip' }),
  };
}

function resultOf(call: HttpCall, answer: HttpResponse): PlatformResult<HttpResponse> {
  const { status } = answer;
  const expected = call.expectedStatuses ?? DEFAULT_EXPECTED_STATUSES;
  if (status < 300 || expected.includes(status)) {
    return { ok: true, value: answer };
  }
  const message = `status ${status}: ${answer.text.slice(0, 200)}`;
  // After a 503 or 4xx the call had no effect; after any other 5xx its outcome is unknown.
  const isKnownNotExecuted = status === STATUS_UNAVAILABLE || status < STATUS_SERVER_ERROR;
  return isKnownNotExecuted ? unavailable(message) : failure(call, message);
}

function unavailable(message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: 'unavailable', message } };
}

function failure(call: HttpCall, message: string): { ok: false; error: PlatformError } {
  return { ok: false, error: { kind: call.isWrite ? 'ambiguous' : 'unavailable', message } };
}
