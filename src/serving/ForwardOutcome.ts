/** How forwarding a request to one backend server ended. */
export type ForwardOutcome =
  /** The caller has its final answer, or its connection was closed. */
  | { readonly kind: 'answered'; readonly status: number }
  /** No byte was sent. */
  | { readonly kind: 'unsent'; readonly cause: string }
  /** The server states that it did not run the request. */
  | { readonly kind: 'not-executed'; readonly status: number }
  /** The request was sent and may have run. */
  | { readonly kind: 'broken'; readonly cause: string }
  /** The server ran the request and answered with a failure of its own. */
  | {
      readonly kind: 'server-error';
      readonly status: number;
      readonly headers: string[];
      readonly body: Buffer;
    }
  /** A stream broke off after events had reached the caller. */
  | {
      readonly kind: 'interrupted';
      readonly lastEventId: string | undefined;
      readonly cause: string;
    }
  /** The request was cancelled: the caller left or the time is over. */
  | { readonly kind: 'cancelled' };

/** What a forwarder is given for one server. */
export interface ForwardOrder {
  readonly headers: readonly string[];
  /** Called when the server's work on the prompt has ended. */
  readonly onFirstEvent?: () => void;
  /** A stream goes on after this event. */
  readonly lastEventId?: string;
}

/** Statuses of a server's own failure, which another server may not have. */
export function isServerError(status: number): boolean {
  return status >= 500;
}
