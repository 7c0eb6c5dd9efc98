/** Interfaces between the serving process and the protocol of callers and backend servers. */
import type { PromptPart } from '../common/serving/EnginePlacement.js';
import type { RegistrationChange } from '../common/serving/ServerDirectory.js';
import type { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import type { PieceOutcome, PieceReference } from '../common/serving/Types.js';

/** Header names and values alternating, as received. */
export type RawHeaders = readonly string[];

/** Attributes of a caller's request, from its headers. */
export interface RequestAttributes {
  /** Identifies one attempt of the caller; a retry by the caller has a new id. */
  readonly attemptId?: string;
  /** Time that the caller waits for the response, in ms. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[];
  /** Number of pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** Input key of the stages that read no results. */
  readonly pieceKey?: string;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId?: string;
  /** Id of the caller's attempt that brought the first event of the stream that it resumes. */
  readonly resumedAttemptId?: string;
}

/** Attributes that the headers of a forwarded request carry. */
export interface ForwardAttributes {
  /** Time to the deadline, in ms. */
  readonly remainingMs: number;
  /** Id of the only server that may run the request. */
  readonly serverId: string;
  readonly account?: string;
  /** Handles of the stage results that the server reads before it runs the request. */
  readonly inputs?: readonly string[];
  /** 0 is the most urgent; absent for servers without priorities. */
  readonly urgency?: number;
  /** Id of the event after which the stream resumes. */
  readonly lastEventId?: string;
}

/** Attributes of a backend server's response, from its headers. */
export interface ResponseAttributes {
  readonly attemptId?: string;
  /** Whether the server signed the response. A success without a signature counts as truncated. */
  readonly isSigned: boolean;
  /** Whether the server reports that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether the body has a content coding. Servers use none, so it was altered on the way. */
  readonly hasContentCoding: boolean;
  /** Whether a content length or chunked framing marks the end of the body. */
  readonly isFramed: boolean;
  /** Requests per second that the server takes from all processes together; absent if unlimited. */
  readonly requestsPerS?: number;
  /** Whether the server says that it leaves. */
  readonly isLeaving: boolean;
  /** Time after which the response asks to come back, in ms. */
  readonly retryAfterMs?: number;
  /** Whether the response names such a time that cannot be read. */
  readonly isRetryAfterInvalid?: boolean;
  /** Time for which the server is still cold, in ms. */
  readonly coldMs?: number;
  /** Whether the response states such a time that cannot be read. */
  readonly isColdMsUnreadable?: boolean;
}

/** A call that the system itself makes to a backend server. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: string;
}

/**
 * Protocol of callers and backend servers. Implementations only translate messages; the serving
 * process makes all decisions.
 */
export interface ServingProtocol {
  /** @returns attributes of a caller's request */
  parseRequest(headers: RawHeaders): RequestAttributes;
  /** @returns the caller's headers, with the system's own headers set or replaced */
  forwardHeaders(headers: RawHeaders, attributes: ForwardAttributes): string[];
  /** @returns attributes of a backend server's response */
  parseResponse(headers: RawHeaders): ResponseAttributes;
  /** @returns headers that identify the caller's attempt in a response of the system itself */
  attemptHeaders(attemptId: string | undefined): string[];
  /**
   * @param serverId - server that receives the call
   * @param pieces - pieces to run
   * @param now - time of the call, on the clock
   * @param callId - id of this call, which servers may repeat in their responses
   */
  createStageCall(
    serverId: string,
    pieces: readonly PieceReference[],
    now: number,
    callId: string,
  ): OutgoingCall;
  /** @returns outcomes in the order of the pieces; undefined if the body is invalid */
  parseStageOutcomes(body: string, pieces: number): PieceOutcome[] | undefined;
  /** @returns call that releases stage results at the server */
  createReleaseCall(serverId: string, handles: readonly string[]): OutgoingCall;
  /** @returns address of the server that stores the result of a handle */
  addressOfResult(handle: string): string;
}

/** Decodes rows that operators and backend servers write to the store. */
export interface RowDecoder {
  configuration(value: Buffer): DecodedValue<ServingConfiguration>;
  registration(id: string, value: Buffer): DecodedValue<RegistrationChange>;
}

/** A decoded value, or the reason why the row is invalid. */
export type DecodedValue<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };
