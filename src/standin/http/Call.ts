import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import {
  ATTEMPT_ID_HEADER,
  CLIENT_ACCOUNT_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  REQUEST_ID_HEADER,
} from '../../common/protocol/Backend.js';
import { BadRequestError } from './BadRequestError.js';

/** Identifiers that attribute the work of a call. */
export interface WorkLabels {
  readonly requestId: string;
  readonly attemptId: string;
  readonly account: string;
  readonly idempotencyKey: string | null;
}

/** Faults that affect the response of a call, after the call has taken effect. */
export interface ResponseFault {
  /** Whether the connection closes without a response. */
  readonly isLost: boolean;
  /** Whether the response is cut off halfway. */
  readonly isTruncated: boolean;
}

/** Options of {@link Call}. */
export interface CallContext {
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: string;
  readonly responseFault: ResponseFault;
  /** Whether the connection was silenced. Its closing is then not reported. */
  readonly isSilent: () => boolean;
}

/** HTTP request to a stand-in service, with its response. */
export class Call {
  constructor(
    private readonly request: IncomingMessage,
    readonly response: ServerResponse,
    private readonly context: CallContext,
  ) {}

  get path(): string {
    return this.context.path;
  }

  get query(): URLSearchParams {
    return this.context.query;
  }

  get body(): string {
    return this.context.body;
  }

  get responseFault(): ResponseFault {
    return this.context.responseFault;
  }

  /** Identifiers from the headers of backend calls; empty strings for missing headers. */
  get labels(): WorkLabels {
    return {
      requestId: this.header(REQUEST_ID_HEADER) ?? '',
      attemptId: this.header(ATTEMPT_ID_HEADER) ?? '',
      account: this.header(CLIENT_ACCOUNT_HEADER) ?? '',
      idempotencyKey: this.header(IDEMPOTENCY_KEY_HEADER) ?? null,
    };
  }

  /** Entity tag of the content that the client has cached. */
  get ifNoneMatch(): string | undefined {
    return this.header('if-none-match');
  }

  get acceptsGzip(): boolean {
    return (this.header('accept-encoding') ?? '').includes('gzip');
  }

  /**
   * Parses the JSON body.
   * @param schema - schema of the body
   * @returns the checked value
   * @throws BadRequestError if the body is not JSON or does not match the schema
   */
  parseBody<S extends z.ZodType>(schema: S): z.infer<S> {
    let json: unknown;
    try {
      json = this.body === '' ? undefined : JSON.parse(this.body);
    } catch {
      throw new BadRequestError('body is not JSON');
    }
    const parsed = schema.safeParse(json);
    if (parsed.success) return parsed.data;
    throw new BadRequestError(parsed.error.issues.map((issue) => issue.message).join('; '));
  }

  /**
   * Registers a listener for connections that close before the response is complete.
   * @param listener - called at most once; not called for silenced connections
   */
  onClosed(listener: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished && !this.context.isSilent()) listener();
    });
  }

  /** Closes the connection without completing the response. */
  destroy(): void {
    if (!this.context.isSilent()) this.request.socket.destroy();
  }

  private header(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }
}
