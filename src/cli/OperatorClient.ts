import { request } from 'undici';
import { z } from 'zod';
import { isConnectError } from '../common/ConnectError.js';
import { OPERATOR_PATH, OperatorError } from '../common/protocol/Operator.js';
import type { CliResult, OperatorConnection } from './Types.js';

/** Number of times that all entries are tried before the call fails. */
const MAX_ROUNDS = 2;
/** Attempts of a change for which the entries report an unknown outcome. */
const MAX_AMBIGUOUS_ATTEMPTS = 3;

const ErrorBody = z.object({ error: OperatorError });

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs, tried in this order. */
  readonly entries: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/**
 * Client of the operator interface. A call without response is sent again to the next entry. This
 * is safe for changes, because each change carries an id and is committed only once.
 */
export class OperatorClient implements OperatorConnection {
  constructor(private readonly options: OperatorClientOptions) {}

  async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<CliResult<unknown>> {
    let mayHaveChanged = false;
    for (let attempt = 1; ; attempt += 1) {
      const { result, isUncertain } = await this.callAnyEntry(method, path, body);
      mayHaveChanged ||= method === 'POST' && isUncertain;
      const error = !result.ok && result.error.kind === 'refused' ? result.error.error : null;
      if (error?.kind !== 'ambiguous' || attempt === MAX_AMBIGUOUS_ATTEMPTS) {
        return mayHaveChanged && error?.kind === 'unavailable'
          ? createAmbiguousResult(error.message)
          : result;
      }
      mayHaveChanged = true;
    }
  }

  private async callAnyEntry(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<{ result: CliResult<unknown>; isUncertain: boolean }> {
    const reasons: string[] = [];
    let isUncertain = false;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const entry of this.options.entries) {
        try {
          return { result: await this.callEntry(entry, method, path, body), isUncertain };
        } catch (error) {
          isUncertain ||= !isConnectError(error);
          reasons.push(`${entry}: ${error instanceof Error ? error.message : String(error)}`);
        }
      }
    }
    const message = `no entry answered (${[...new Set(reasons)].join('; ')})`;
    return { result: { ok: false, error: { kind: 'unreachable', message } }, isUncertain };
  }

  private async callEntry(
    entry: string,
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<CliResult<unknown>> {
    const { token, timeoutMs } = this.options;
    const response = await request(new URL(OPERATOR_PATH + path, entry), {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const responseBody = await response.body.json();
    if (response.statusCode === 200) return { ok: true, value: responseBody };
    const { error } = ErrorBody.parse(responseBody);
    return { ok: false, error: { kind: 'refused', error, messages: [error.message] } };
  }
}

/**
 * Returns the error for a change that failed because the store is unavailable, after an earlier
 * attempt with unknown outcome: the earlier attempt may have taken effect.
 */
function createAmbiguousResult(message: string): CliResult<never> {
  const text = `an earlier try may have taken effect (${message})`;
  const error = { kind: 'ambiguous', message: text } as const;
  return { ok: false, error: { kind: 'refused', error, messages: [text] } };
}
