import type { RequestSignal } from '../common/serving/ServerRecords.js';
import type { ResponseAttributes } from './Types.js';

/** How forwarding a request to one backend server ended. */
export type ForwardOutcome =
  /** The caller received its final response, or its connection was closed. */
  | { readonly kind: 'answered'; readonly status: number }
  /** No byte of the request was sent. */
  | { readonly kind: 'unsent'; readonly cause: string }
  /** The server reported that it did not run the request. */
  | { readonly kind: 'not-executed'; readonly status: number }
  /** The request was sent and may have run, but there is no valid response. */
  | {
      readonly kind: 'broken';
      readonly cause: string;
      /** Whether the server closed or reset the connection, as it also does when it ends. */
      readonly isConnectionLost: boolean;
    }
  /** The server ran the request and responded with a failure of its own. */
  | {
      readonly kind: 'server-error';
      readonly status: number;
      readonly headers: string[];
      readonly body: Buffer;
    }
  /** A stream ended early after events had been forwarded to the caller. */
  | {
      readonly kind: 'interrupted';
      readonly lastEventId: string | undefined;
      readonly cause: string;
      /** Same as for `broken`. */
      readonly isConnectionLost: boolean;
    }
  /** The request was cancelled: the caller left or the deadline passed. */
  | { readonly kind: 'cancelled' };

/**
 * Called with the status before a send writes to the caller.
 * @returns whether it may; false if another send has answered first
 */
export type Claim = (status: number) => boolean;

/** What each outcome shows about the health of the server; nothing if the request was cancelled. */
export const SIGNALS: Readonly<Record<ForwardOutcome['kind'], RequestSignal | undefined>> = {
  answered: 'succeeded',
  unsent: 'unreachable',
  'not-executed': 'full',
  broken: 'failed',
  'server-error': 'failed',
  interrupted: 'failed',
  cancelled: undefined,
};

/** Options for forwarding a request to one backend server. */
export interface ForwardOptions {
  readonly headers: readonly string[];
  /** Called when the head of the response has arrived. */
  readonly onHead?: () => void;
  /**
   * Called with the number of events that have arrived together; the first ones show that the prefill
   * of the prompt has ended.
   */
  readonly onEvents?: (count: number) => void;
  /** Id of the event after which a stream resumes. */
  readonly lastEventId?: string;
  /** Asked before the response to the caller begins; absent if no other send may answer. */
  readonly claim?: Claim;
}

/** Whether the status reports a failure of the server itself, which another server may not have. */
export function isServerError(status: number): boolean {
  return status >= 500;
}

/** Whether the status reports a success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/**
 * @param response - attributes of the response
 * @param attemptId - id of the request; undefined if it has none
 * @returns whether the server reports that it did not run this request. A faulty server may repeat an
 *   earlier refusal, which carries another id
 */
export function isRefusal(response: ResponseAttributes, attemptId: string | undefined): boolean {
  return (
    response.isNotExecuted && (response.attemptId === undefined || response.attemptId === attemptId)
  );
}
