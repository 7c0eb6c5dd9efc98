import type { Exchange, ExchangeFailure, ExchangeRequest, ServerLinks } from './ServerLinks.js';

/** A whole response, or why there is none. */
export type BufferedResponse =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'failed'; readonly failure: ExchangeFailure };

/** Largest response that is held in memory, in bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Options of {@link bufferedCall}. */
export interface CallLimits {
  /** Time for the whole exchange, in ms. */
  readonly timeoutMs: number;
  /** Ends the exchange early. */
  readonly signal?: AbortSignal;
}

/**
 * Sends a request and holds its whole response.
 * @param links - connections of the server
 * @param request - what to send
 * @param limits - time-out and signal
 * @returns response or failure; it never rejects
 */
export function bufferedCall(
  links: ServerLinks,
  request: ExchangeRequest,
  limits: CallLimits,
): Promise<BufferedResponse> {
  return new Promise((resolve) => {
    const head = { status: 0, headers: [] as string[] };
    const chunks: Buffer[] = [];
    let size = 0;
    let exchange: Exchange | undefined;
    let timer: NodeJS.Timeout | undefined;
    const settle = (response: BufferedResponse) => {
      clearTimeout(timer);
      limits.signal?.removeEventListener('abort', onAbort);
      resolve(response);
    };
    const fail = (kind: ExchangeFailure['kind'], message: string) =>
      settle({ kind: 'failed', failure: { kind, message } });
    const cut = (message: string) => {
      exchange?.abort();
      fail('broken', message);
    };
    const onAbort = () => cut('cancelled');
    exchange = links.send(request, {
      onHead: (status, headers) => Object.assign(head, { status, headers }),
      onData: (chunk) => {
        size += chunk.length;
        chunks.push(chunk);
        if (size > MAX_RESPONSE_BYTES) cut('response too large');
      },
      onEnd: () => settle({ kind: 'answered', ...head, body: Buffer.concat(chunks) }),
      onFailure: ({ kind, message }) => fail(kind, message),
    });
    if (!exchange) {
      fail('unsent', 'all connections of the own share are in use');
      return;
    }
    timer = setTimeout(() => cut(`no whole response in ${limits.timeoutMs} ms`), limits.timeoutMs);
    limits.signal?.addEventListener('abort', onAbort, { once: true });
    if (limits.signal?.aborted) onAbort();
  });
}
