import { request } from 'undici';
import { z } from 'zod';
import { isConnectError } from '../common/ConnectError.js';
import { OPERATOR_PATH, OperatorError } from '../common/protocol/Operator.js';
import type { CliResult, OperatorConnection } from './Types.js';

/** Rounds over all entries before a call is given up. */
const ROUNDS = 2;
/** Further tries of a change whose outcome the entry could not tell. */
const AMBIGUOUS_TRIES = 3;

const ErrorBody = z.object({ error: OperatorError });

/** Options of {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs, tried in this order. */
  readonly entries: readonly string[];
  readonly token: string;
  readonly timeoutMs: number;
}

/**
 * Client of the operator interface. Calls that got no answer are sent again: changes carry an id,
 * so that a second one is never made.
 */
export class OperatorClient implements OperatorConnection {
  constructor(private readonly options: OperatorClientOptions) {}

  async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<CliResult<unknown>> {
    let mayHaveChanged = false;
    for (let attempt = 1; ; attempt += 1) {
      const { result, isUncertain } = await this.callAny(method, path, body);
      mayHaveChanged ||= method === 'POST' && isUncertain;
      const error = !result.ok && result.error.kind === 'refused' ? result.error.error : null;
      if (error?.kind !== 'ambiguous' || attempt === AMBIGUOUS_TRIES) {
        return mayHaveChanged && error?.kind === 'unavailable' ? ambiguous(error.message) : result;
      }
      mayHaveChanged = true;
    }
  }

  private async callAny(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<{ result: CliResult<unknown>; isUncertain: boolean }> {
    const reasons: string[] = [];
    let isUncertain = false;
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const entry of this.options.entries) {
        try {
          return { result: await this.callOne(entry, method, path, body), isUncertain };
        } catch (error) {
          isUncertain ||= !isConnectError(error);
          reasons.push(`${entry}: ${error instanceof Error ? error.message : String(error)}`);
        }
      }
    }
    const message = `no entry answered (${[...new Set(reasons)].join('; ')})`;
    return { result: { ok: false, error: { kind: 'unreachable', message } }, isUncertain };
  }

  private async callOne(
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
    const answer = await response.body.json();
    if (response.statusCode === 200) return { ok: true, value: answer };
    const { error } = ErrorBody.parse(answer);
    return { ok: false, error: { kind: 'refused', error, messages: [error.message] } };
  }
}

/** An earlier try may have taken effect, so a later refusal for want of the store proves nothing. */
function ambiguous(message: string): CliResult<never> {
  const text = `an earlier try may have taken effect (${message})`;
  const error = { kind: 'ambiguous', message: text } as const;
  return { ok: false, error: { kind: 'refused', error, messages: [text] } };
}
