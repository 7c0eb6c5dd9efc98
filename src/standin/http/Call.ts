import type { IncomingMessage, ServerResponse } from 'node:http';
import type { z } from 'zod';
import {
  ATTEMPT_ID_HEADER,
  CLIENT_ACCOUNT_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  REQUEST_ID_HEADER,
} from '../../common/protocol/Backend.js';
import { BadRequest } from './BadRequest.js';

/** Labels of the work that a call asks for. */
export interface WorkLabels {
  readonly requestId: string;
  readonly attemptId: string;
  readonly account: string;
  readonly idempotencyKey: string | null;
}

/** What faults do to the response of a call after its effect. */
export interface ResponseFault {
  /** The connection is closed unanswered. */
  readonly isLost: boolean;
  /** The response is cut off in the middle. */
  readonly isTruncated: boolean;
}

/** Options of {@link Call}. */
export interface CallContext {
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: string;
  readonly responseFault: ResponseFault;
  /** True if the connection was made silent; its end must then go unnoticed. */
  readonly isSilent: () => boolean;
}

/** One call of a stand-in service. */
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

  /** Labels from the headers that identify the work of backend calls. */
  get labels(): WorkLabels {
    return {
      requestId: this.header(REQUEST_ID_HEADER) ?? '',
      attemptId: this.header(ATTEMPT_ID_HEADER) ?? '',
      account: this.header(CLIENT_ACCOUNT_HEADER) ?? '',
      idempotencyKey: this.header(IDEMPOTENCY_KEY_HEADER) ?? null,
    };
  }

  /** Entity tag of the content that the client holds. */
  get ifNoneMatch(): string | undefined {
    return this.header('if-none-match');
  }

  get acceptsGzip(): boolean {
    return (this.header('accept-encoding') ?? '').includes('gzip');
  }

  /**
   * Checks the JSON body.
   * @param schema - expected shape
   * @returns the checked value
   * @throws BadRequest if the body is of another shape
   */
  parse<S extends z.ZodType>(schema: S): z.infer<S> {
    let json: unknown;
    try {
      json = this.body === '' ? undefined : JSON.parse(this.body);
    } catch {
      throw new BadRequest('body is not JSON');
    }
    const parsed = schema.safeParse(json);
    if (parsed.success) return parsed.data;
    throw new BadRequest(parsed.error.issues.map((issue) => issue.message).join('; '));
  }

  /**
   * Calls the listener once if the connection closes before the response is complete.
   * @param listener - called at most once
   */
  onClosed(listener: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished && !this.context.isSilent()) listener();
    });
  }

  /** Closes the connection without a further response. */
  destroy(): void {
    if (!this.context.isSilent()) this.request.socket.destroy();
  }

  private header(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }
}
