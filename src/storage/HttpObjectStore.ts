import { HttpCaller } from './HttpCaller.js';
import type { CallOptions, ObjectStore, PlatformResult } from './Types.js';

const STATUS_NOT_FOUND = 404;
const STATUS_OK = 200;

/** HTTP client of the platform's object store. */
export class HttpObjectStore implements ObjectStore {
  private readonly caller: HttpCaller;

  /** @param baseUrl - URL of the object store */
  constructor(baseUrl: string) {
    this.caller = new HttpCaller(baseUrl);
  }

  async put(key: string, body: string, options: CallOptions): Promise<PlatformResult<void>> {
    const answer = await this.caller.call(
      { method: 'PUT', path: objectPath(key), body, isWrite: true },
      options,
    );
    if (!answer.ok) return answer;
    if (answer.value.status < 300) return { ok: true, value: undefined };
    return {
      ok: false,
      error: {
        kind: 'unavailable',
        message: `expected status below 300, got ${answer.value.status}`,
      },
    };
  }

  async get(key: string, options: CallOptions): Promise<PlatformResult<string | null>> {
    const answer = await this.caller.call(
      { method: 'GET', path: objectPath(key), isWrite: false },
      options,
    );
    if (!answer.ok) return answer;
    const { status, text } = answer.value;
    if (status === STATUS_OK) return { ok: true, value: text };
    if (status === STATUS_NOT_FOUND) return { ok: true, value: null };
    return {
      ok: false,
      error: {
        kind: 'unavailable',
        message: `expected status ${STATUS_OK} or ${STATUS_NOT_FOUND}, got ${status}`,
      },
    };
  }

  /** Closes all connections; calls in progress fail. */
  close(): Promise<void> {
    return this.caller.close();
  }
}

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}
