import { request } from 'undici';
import { z } from 'zod';
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
    let result = await this.callAny(method, path, body);
    for (let attempt = 1; attempt < AMBIGUOUS_TRIES; attempt += 1) {
      if (result.ok || result.error.kind !== 'refused') return result;
      if (result.error.error.kind !== 'ambiguous') return result;
      result = await this.callAny(method, path, body);
    }
    return result;
  }

  private async callAny(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<CliResult<unknown>> {
    const reasons: string[] = [];
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const entry of this.options.entries) {
        try {
          return await this.callOne(entry, method, path, body);
        } catch (error) {
          reasons.push(`${entry}: ${error instanceof Error ? error.message : String(error)}`);
        }
      }
    }
    const message = `no entry answered (${[...new Set(reasons)].join('; ')})`;
    return { ok: false, error: { kind: 'unreachable', message } };
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
