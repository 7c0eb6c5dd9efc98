import { Pool, type Dispatcher } from 'undici';
import { isConnectError } from '../../common/ConnectError.js';
import { PAYLOAD_BOUNDS, parseJson } from '../../common/json/BoundedJson.js';
import { MAX_BODY_BYTES, readBoundedText } from '../../common/BoundedBody.js';
import type { Attempt } from '../../common/protocol/Attempt.js';
import {
  ATTEMPT_ID_HEADER,
  CLIENT_ACCOUNT_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  CompletionCancelled,
  REQUEST_ID_HEADER,
} from '../../common/protocol/Backend.js';
import type { Usage } from '../../common/protocol/Usage.js';
import { usageOf } from './ReportedUsage.js';

/** Timeout for connecting to the backend server, which runs next to the agent. */
const CONNECT_TIMEOUT_MS = 1000;

/** Largest body of a response with an error status, in bytes. */
const MAX_ERROR_BODY_BYTES = 1024 * 1024;

/** Timeout of the call that cancels a completion. */
const CANCEL_TIMEOUT_MS = 500;

/** Errors of the backend layer. */
export type BackendError =
  /** No byte of the call was sent. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** The call may have run; the response is missing or incomplete. `usage` if reported. */
  | { readonly kind: 'lost'; readonly message: string; readonly usage?: Partial<Usage> }
  /** The signal aborted the call. `usage` if reported. */
  | { readonly kind: 'aborted'; readonly message: string; readonly usage?: Partial<Usage> }
  /** The server responded with an error status. */
  | { readonly kind: 'status'; readonly status: number; readonly message: string }
  /** The response violates the protocol. */
  | { readonly kind: 'malformed'; readonly message: string };

/** Value or tagged error of a call. */
export type BackendResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly error: BackendError };

/** Response with a JSON body. */
export interface JsonResponse {
  readonly body: unknown;
  readonly headers: Dispatcher.ResponseData['headers'];
}

/** HTTP client of one backend server. */
export class BackendClient {
  private readonly pool: Pool;

  /**
   * Pool for calls that must not be repeated. Each gets a new connection: the server may close a
   * reused one at the same moment, and then it is unknown whether the call arrived.
   */
  private readonly singleUsePool: Pool;

  private readonly pathPrefix: string;

  /** @param baseUrl - URL of the backend server */
  constructor(baseUrl: string) {
    const { origin, pathname } = new URL(baseUrl);
    const options: Pool.Options = {
      connect: { timeout: CONNECT_TIMEOUT_MS },
      // The attempt state machine enforces deadlines: it aborts calls through their signal.
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.pathPrefix = pathname.replace(/\/$/, '');
    this.pool = new Pool(origin, options);
    this.singleUsePool = new Pool(origin, options);
  }

  /**
   * Posts a JSON body.
   * @param attempt - attempt that the call is part of
   * @param path - path below the base URL
   * @param body - JSON value
   * @param signal - aborts the call
   * @returns response whose body is not read yet
   */
  async post(
    attempt: Attempt,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<BackendResult<Dispatcher.ResponseData>> {
    const { idempotent } = attempt;
    try {
      const response = await (idempotent ? this.pool : this.singleUsePool).request({
        method: 'POST',
        path: `${this.pathPrefix}${path}`,
        headers: headersOf(attempt),
        body: JSON.stringify(body),
        signal,
        reset: !idempotent,
        idempotent: false,
      });
      if (response.statusCode < 300) return { ok: true, value: response };
      const text = await readBoundedText(response.body, MAX_ERROR_BODY_BYTES);
      const message = `status ${response.statusCode}: ${text.slice(0, 200)}`;
      return { ok: false, error: { kind: 'status', status: response.statusCode, message } };
    } catch (error) {
      return { ok: false, error: classifyError(error, signal) };
    }
  }

  /**
   * Posts a JSON body and reads a JSON response.
   * @param attempt - attempt that the call is part of
   * @param path - path below the base URL
   * @param body - JSON value
   * @param signal - aborts the call
   * @returns parsed body and headers
   */
  async postForJson(
    attempt: Attempt,
    path: string,
    body: unknown,
    signal: AbortSignal,
  ): Promise<BackendResult<JsonResponse>> {
    const response = await this.post(attempt, path, body, signal);
    if (!response.ok) return response;
    try {
      const text = await readBoundedText(response.value.body, MAX_BODY_BYTES);
      return {
        ok: true,
        value: { body: parseJson(text, PAYLOAD_BOUNDS), headers: response.value.headers },
      };
    } catch (error) {
      if (!(error instanceof SyntaxError))
        return { ok: false, error: classifyError(error, signal) };
      return { ok: false, error: { kind: 'malformed', message: 'the answer is not JSON' } };
    }
  }

  /**
   * Cancels a completion immediately. Otherwise the engine continues it until its grace time for
   * resuming has passed.
   * @param attempt - attempt of kind `generate`
   * @returns usage so far, or null if the engine does not report it
   */
  async cancelCompletion(attempt: Attempt): Promise<Partial<Usage> | null> {
    try {
      const response = await this.singleUsePool.request({
        method: 'DELETE',
        path: `${this.pathPrefix}/v1/completions/${encodeURIComponent(attempt.attemptId)}`,
        signal: AbortSignal.timeout(CANCEL_TIMEOUT_MS),
        reset: true,
      });
      const text = await readBoundedText(response.body, MAX_ERROR_BODY_BYTES);
      const parsed = CompletionCancelled.safeParse(parseJson(text, PAYLOAD_BOUNDS));
      return parsed.success ? usageOf(parsed.data.usage) : null;
    } catch {
      return null;
    }
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.pool.destroy(), this.singleUsePool.destroy()]);
  }
}

/**
 * Maps an error thrown by undici to a tagged error.
 * @param error - error thrown by undici
 * @param signal - signal of the call
 * @returns tagged error
 */
export function classifyError(error: unknown, signal: AbortSignal): BackendError {
  const message = error instanceof Error ? error.message : String(error);
  if (isConnectError(error)) return { kind: 'unreachable', message };
  if (signal.aborted) return { kind: 'aborted', message: String(signal.reason) };
  return { kind: 'lost', message };
}

function headersOf(attempt: Attempt): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: attempt.requestId,
    [ATTEMPT_ID_HEADER]: attempt.attemptId,
    [CLIENT_ACCOUNT_HEADER]: attempt.account,
  };
  if (attempt.idempotencyKey !== undefined) {
    headers[IDEMPOTENCY_KEY_HEADER] = encodeURIComponent(attempt.idempotencyKey);
  }
  if (attempt.traceparent !== undefined) headers.traceparent = attempt.traceparent;
  return headers;
}
