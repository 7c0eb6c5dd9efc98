import type {
  Exchange,
  ExchangeFailure,
  ExchangeRequest,
  ServerConnectionPool,
} from './ServerConnectionPool.js';

import { announcedBytes } from './HttpHeaders.js';
import type { Cancellation } from '../common/events/Cancellation.js';
import type { Disposable } from '../common/events/Types.js';
import type { Failover } from './FailoverPolicy.js';

/** A complete response, or the reason for the failure. */
export type BufferedResponse =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: string[];
      readonly body: Buffer;
    }
  | { readonly kind: 'failed'; readonly failure: ExchangeFailure };

/** Options of {@link bufferedCall}. */
export interface CallOptions {
  /** Time-out of the whole exchange, including connecting, in ms. */
  readonly timeoutMs: number;
  /** Ends the exchange sooner if another server may serve the request instead. */
  readonly failover?: Failover;
  /** Most bytes of the body, if that is less than the limit of all bodies. */
  readonly maxBodyBytes?: number;
  /**
   * Called with a whole response. After one that is not tied to the call, the connection is closed,
   * since the response that belongs to the call may still come.
   */
  readonly isTied?: (response: Extract<BufferedResponse, { kind: 'answered' }>) => boolean;
  /** Aborts the exchange. */
  readonly cancellation?: Cancellation;
  /** Called when the head of the response has arrived. */
  readonly onHead?: () => void;
}

/**
 * Sends a request and buffers its response.
 * @param pool - connections to the server
 * @param request - request to send
 * @param options - time-out and cancellation
 * @returns response or failure; never rejects
 */
export function bufferedCall(
  pool: ServerConnectionPool,
  request: ExchangeRequest,
  options: CallOptions,
): Promise<BufferedResponse> {
  return new Promise((resolve) => {
    const head = { status: 0, headers: [] as string[] };
    let exchange: Exchange | undefined;
    let timer: NodeJS.Timeout | undefined;
    let failoverTimer: NodeJS.Timeout | undefined;
    let subscription: Disposable | undefined;
    const settle = (response: BufferedResponse) => {
      clearTimeout(timer);
      clearInterval(failoverTimer);
      subscription?.dispose();
      body.release();
      resolve(response);
    };
    const fail = (failure: ExchangeFailure) => settle({ kind: 'failed', failure });
    const abort = (message: string) => {
      exchange?.abort();
      fail({ kind: 'broken', message, isConnectionLost: false });
    };
    const body = pool.createBuffer('bodyBytes', abort, options.maxBodyBytes);
    exchange = pool.send(request, {
      onHead: (status, headers) => {
        Object.assign(head, { status, headers });
        body.announce(announcedBytes(headers));
        options.onHead?.();
      },
      onData: (chunk) => body.append(chunk),
      onEnd: () => {
        const response = { kind: 'answered', ...head, body: body.finish() } as const;
        const isTied = options.isTied?.(response) ?? true;
        settle(response);
        return isTied;
      },
      onFailure: fail,
    });
    if (!exchange) {
      fail({
        kind: 'unsent',
        message: 'all connections in the share of this process are in use',
        isConnectionLost: false,
      });
      return;
    }
    timer = setTimeout(
      () => abort(`no whole response in ${options.timeoutMs} ms`),
      options.timeoutMs,
    );
    const { failover } = options;
    if (failover) {
      let waitedMs = 0;
      failoverTimer = setInterval(() => {
        waitedMs += failover.firstAfterMs;
        if (failover.mayMove(waitedMs)) abort(`no whole response in ${waitedMs} ms`);
      }, failover.firstAfterMs);
    }
    subscription = options.cancellation?.onCancelled(() => abort('cancelled'));
  });
}
