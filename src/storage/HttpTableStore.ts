import { HttpCaller, type HttpResponse, type HttpCall } from './HttpCaller.js';
import { ConflictBody, parseBody, RowsBody } from './ResponseBody.js';
import type {
  CallOptions,
  PlatformResult,
  Row,
  RowAddress,
  RowCheck,
  RowWrite,
  TableStore,
} from './Types.js';

const STATUS_CONFLICT = 409;

/** HTTP client of the platform's table service. */
export class HttpTableStore implements TableStore {
  private readonly caller: HttpCaller;

  /** @param baseUrl - URL of the table service */
  constructor(baseUrl: string) {
    this.caller = new HttpCaller(baseUrl);
  }

  read(rows: readonly RowAddress[], options: CallOptions): Promise<PlatformResult<Row[]>> {
    return this.query('/v1/read', { rows }, options);
  }

  scan(
    range: { table: string; prefix: string; after?: string; limit: number },
    options: CallOptions,
  ): Promise<PlatformResult<Row[]>> {
    return this.query('/v1/scan', range, options);
  }

  async transaction(
    request: { checks: readonly RowCheck[]; writes: readonly RowWrite[] },
    options: CallOptions,
  ): Promise<PlatformResult<Row[]>> {
    const call = post('/v1/transaction', request, request.writes.length > 0);
    const errorKind = call.isWrite ? 'ambiguous' : 'unavailable';
    const answer = await this.caller.call(call, options);
    if (!answer.ok) return answer;
    if (answer.value.status === STATUS_CONFLICT) {
      const body = parseBody(ConflictBody, answer.value.text, errorKind);
      return body.ok
        ? { ok: false, error: { kind: 'conflict', current: body.value.current } }
        : body;
    }
    return rowsOf(answer.value, errorKind);
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.caller.close();
  }

  private async query(
    path: string,
    body: unknown,
    options: CallOptions,
  ): Promise<PlatformResult<Row[]>> {
    const answer = await this.caller.call(post(path, body, false), options);
    return answer.ok ? rowsOf(answer.value, 'unavailable') : answer;
  }
}

function post(path: string, body: unknown, isWrite: boolean): HttpCall {
  return { method: 'POST', path, body: JSON.stringify(body), isWrite };
}

function rowsOf(
  answer: HttpResponse,
  errorKind: 'ambiguous' | 'unavailable',
): PlatformResult<Row[]> {
  const body = parseBody(RowsBody, answer.text, errorKind);
  return body.ok ? { ok: true, value: body.value.rows } : body;
}
