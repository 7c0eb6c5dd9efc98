/** Caller of entries: sends one request and records everything that came back. */
import { performance } from 'node:perf_hooks';
import { Agent, request, type Dispatcher } from 'undici';
import { CallerError } from '../../common/protocol/CallerError.js';
import { CallerResult } from '../../common/protocol/CallerRequest.js';
import { SseParser, type ServerSentEvent } from './SseParser.js';

/** Time allowed after the deadline before the caller gives up waiting. */
const CALLER_PATIENCE_MS = 2000;

/** A request as a caller sends it. */
export interface CallerCall {
  /** `ip:port` of the entry. */
  readonly address: string;
  readonly token: string;
  readonly template: string;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey?: string;
  readonly streamed?: boolean;
  /** Time the caller is ready to wait, in milliseconds. */
  readonly timeoutMs: number;
}

/** A chunk as received. */
export interface ReceivedChunk {
  readonly offset: number;
  readonly text: string;
  /** Milliseconds since the request was sent. */
  readonly atMs: number;
}

/**
 * What came back.
 * - `result`: a whole answer.
 * - `error`: an error body.
 * - `broken`: no answer, or one that is not of the protocol.
 */
export type CallerAnswer = {
  readonly chunks: readonly ReceivedChunk[];
  readonly latencyMs: number;
} & (
  | { readonly kind: 'result'; readonly result: CallerResult }
  | { readonly kind: 'error'; readonly error: CallerError['error'] }
  | { readonly kind: 'broken'; readonly message: string }
);

type Final =
  | { kind: 'result'; result: CallerResult }
  | { kind: 'error'; error: CallerError['error'] }
  | { kind: 'broken'; message: string };

const dispatcher = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 1000 });

/**
 * Sends a request and waits for its end.
 * @param call - request
 * @param signal - aborts the request as a caller that disconnects
 * @returns the answer; does not throw
 */
export async function callEntry(call: CallerCall, signal?: AbortSignal): Promise<CallerAnswer> {
  const startedAt = performance.now();
  const chunks: ReceivedChunk[] = [];
  const timeout = AbortSignal.timeout(call.timeoutMs + CALLER_PATIENCE_MS);
  const merged = signal ? AbortSignal.any([signal, timeout]) : timeout;
  let final: Final;
  try {
    const response = await send(call, merged);
    const streamed = String(response.headers['content-type']).startsWith('text/event-stream');
    final = streamed
      ? await readStream(response, chunks, startedAt)
      : readBody(await response.body.text());
  } catch (error) {
    final = { kind: 'broken', message: error instanceof Error ? error.message : String(error) };
  }
  return { ...final, chunks, latencyMs: performance.now() - startedAt };
}

function send(call: CallerCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.token}`,
    'content-type': 'application/json',
  };
  if (call.idempotencyKey !== undefined) headers['idempotency-key'] = call.idempotencyKey;
  if (call.streamed) headers.accept = 'text/event-stream';
  return request(`http://${call.address}/v1/pipelines/${call.template}/requests`, {
    method: 'POST',
    headers,
    body: JSON.stringify({ input: call.input, timeoutMs: call.timeoutMs }),
    signal,
    dispatcher,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

async function readStream(
  response: Dispatcher.ResponseData,
  chunks: ReceivedChunk[],
  startedAt: number,
): Promise<Final> {
  const parser = new SseParser();
  const decoder = new TextDecoder();
  let final: Final = { kind: 'broken', message: 'the stream ended without result or error' };
  for await (const bytes of response.body) {
    for (const event of parser.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
      const atMs = performance.now() - startedAt;
      if (event.event === 'chunk') {
        const { offset, text } = JSON.parse(event.data) as { offset: number; text: string };
        chunks.push({ offset, text, atMs });
      }
      final = FINAL_EVENTS[event.event]?.(event) ?? final;
    }
  }
  return final;
}

const FINAL_EVENTS: Readonly<Record<string, (event: ServerSentEvent) => Final>> = {
  result: (event) => readBody(event.data),
  error: (event) => readBody(event.data),
};

function readBody(text: string): Final {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return { kind: 'broken', message: 'the body is not JSON' };
  }
  const error = CallerError.safeParse(body);
  if (error.success) return { kind: 'error', error: error.data.error };
  const result = CallerResult.safeParse(body);
  if (result.success) return { kind: 'result', result: result.data };
  return { kind: 'broken', message: 'the body is neither a result nor an error' };
}
