/** Caller of entries: sends one request and records the complete response. */
import { performance } from 'node:perf_hooks';
import { Agent, request, type Dispatcher } from 'undici';
import { CallerError } from '../../common/protocol/CallerError.js';
import { CallerResult } from '../../common/protocol/CallerRequest.js';
import { SseParser, type ServerSentEvent } from './SseParser.js';

/** Time that the caller waits for a response after its deadline. */
const RESPONSE_GRACE_MS = 2000;

/** A request of a caller to an entry. */
export interface CallerCall {
  /** `ip:port` of the entry. */
  readonly address: string;
  readonly token: string;
  readonly template: string;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey?: string;
  readonly streamed?: boolean;
  /** Deadline of the request, in milliseconds after it is sent. */
  readonly timeoutMs: number;
}

/** A received chunk of a stream. */
export interface ReceivedChunk {
  readonly offset: number;
  readonly text: string;
  /** Milliseconds since the request was sent. */
  readonly atMs: number;
}

/**
 * Response to a request.
 * - `result`: a complete result.
 * - `error`: an error body.
 * - `broken`: no response, an incomplete one, or one that does not conform to the protocol.
 */
export type CallerAnswer = {
  readonly chunks: readonly ReceivedChunk[];
  readonly latencyMs: number;
} & (
  | { readonly kind: 'result'; readonly result: CallerResult }
  | { readonly kind: 'error'; readonly error: CallerError['error'] }
  | { readonly kind: 'broken'; readonly message: string }
);

type FinalAnswer =
  | { kind: 'result'; result: CallerResult }
  | { kind: 'error'; error: CallerError['error'] }
  | { kind: 'broken'; message: string };

const dispatcher = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 1000 });

/**
 * Sends a request and waits for its end. Never rejects.
 * @param call - request to send
 * @param signal - disconnects the caller when aborted
 * @returns the answer, with kind `broken` if the call failed
 */
export async function callEntry(call: CallerCall, signal?: AbortSignal): Promise<CallerAnswer> {
  const startedAt = performance.now();
  const chunks: ReceivedChunk[] = [];
  const timeout = AbortSignal.timeout(call.timeoutMs + RESPONSE_GRACE_MS);
  const abortSignal = signal ? AbortSignal.any([signal, timeout]) : timeout;
  let final: FinalAnswer;
  try {
    const response = await send(call, abortSignal);
    const isStream = String(response.headers['content-type']).startsWith('text/event-stream');
    final = isStream
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
): Promise<FinalAnswer> {
  const parser = new SseParser();
  const decoder = new TextDecoder();
  let final: FinalAnswer = {
    kind: 'broken',
    message: 'the stream ended without a result or error event',
  };
  for await (const bytes of response.body) {
    for (const event of parser.push(decoder.decode(bytes as Uint8Array, { stream: true }))) {
      const atMs = performance.now() - startedAt;
      if (event.event === 'chunk') {
        const { offset, text } = JSON.parse(event.data) as { offset: number; text: string };
        chunks.push({ offset, text, atMs });
      }
      final = FINAL_EVENT_READERS[event.event]?.(event) ?? final;
    }
  }
  return final;
}

const FINAL_EVENT_READERS: Readonly<Record<string, (event: ServerSentEvent) => FinalAnswer>> = {
  result: (event) => readBody(event.data),
  error: (event) => readBody(event.data),
};

function readBody(text: string): FinalAnswer {
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
