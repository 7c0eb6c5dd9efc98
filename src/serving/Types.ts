/** Interfaces between the serving process and the protocol that callers and servers speak. */
import type { PromptPart } from '../common/serving/EnginePlacement.js';
import type { Registration } from '../common/serving/ServerDirectory.js';
import type { ServingConfiguration } from '../common/serving/ServingConfiguration.js';
import type { PieceOutcome, PieceReference } from '../common/serving/StageQueue.js';

/** Header names and values in turn, as received. */
export type RawHeaders = readonly string[];

/** What the headers of a caller's request say. */
export interface RequestAttributes {
  /** Identifies this try of the caller; each try has its own. */
  readonly attemptId?: string;
  /** Time that the caller will wait, in ms. */
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  /** Parts of the prompt, in order. */
  readonly promptParts: readonly PromptPart[];
  /** Pieces of each stage of the route. */
  readonly pieceCounts: readonly number[];
  /** Start of the stages that read no results. */
  readonly pieceKey?: string;
  /** Last event of a stream that the caller has, if it resumes one. */
  readonly lastEventId?: string;
}

/** What the headers of a forwarded request have to say. */
export interface ForwardAttributes {
  /** Time left, in ms. */
  readonly remainingMs: number;
  /** Only the server with this id may run the request. */
  readonly serverId: string;
  readonly account?: string;
  /** Handles of stage results that the server reads first. */
  readonly inputs?: readonly string[];
  /** 0 is the most urgent; absent for servers without priorities. */
  readonly urgency?: number;
  /** The stream goes on after this event. */
  readonly lastEventId?: string;
}

/** What the headers of a server's response say. */
export interface ResponseAttributes {
  readonly attemptId?: string;
  /** True if the server signed the response; only such a success is whole. */
  readonly isSigned: boolean;
  /** True if the server states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** True if the body is coded, so that it is not the server's own. */
  readonly isEncoded: boolean;
  /** True if the end of the body is marked by a length or chunks. */
  readonly isFramed: boolean;
}

/** A call that the system makes of its own. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: string;
}

/** Protocol spoken with callers and backend servers. Implementations translate and decide nothing. */
export interface ServingProtocol {
  readRequest(headers: RawHeaders): RequestAttributes;
  /** @returns the caller's headers with those of the system in place of any that the caller sent */
  forwardHeaders(headers: RawHeaders, attributes: ForwardAttributes): string[];
  readResponse(headers: RawHeaders): ResponseAttributes;
  /** @returns headers that identify the caller's try in an answer of our own */
  answerHeaders(attemptId: string | undefined): string[];
  stageCall(serverId: string, pieces: readonly PieceReference[], now: number): OutgoingCall;
  /** @returns outcomes in the order of the pieces; undefined for a body that can't be read */
  readStageOutcomes(body: string): PieceOutcome[] | undefined;
  releaseCall(serverId: string, handles: readonly string[]): OutgoingCall;
  /** @returns address of the server that made a result */
  addressOfResult(handle: string): string;
}

/** Decodes rows of the store that other writers own. */
export interface RowDecoder {
  configuration(value: Buffer): DecodedValue<ServingConfiguration>;
  registration(id: string, value: Buffer): DecodedValue<Registration>;
}

/** A decoded value, or why the row is not one. */
export type DecodedValue<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly reason: string };
