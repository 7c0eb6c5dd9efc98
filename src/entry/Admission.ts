/** Checks a caller's request before anything is dispatched. Every refusal here is `not-run`. */
import type { IncomingHttpHeaders } from 'node:http';
import { sha256 } from '../common/Digest.js';
import { createPipelinePlan, type PipelinePlan } from '../common/pipeline/PipelinePlan.js';
import type { CallerErrorKind } from '../common/protocol/CallerError.js';
import { CallerRequest } from '../common/protocol/CallerRequest.js';
import type { Account, ConfigurationSnapshot } from '../common/protocol/Configuration.js';
import type { Failure } from './Types.js';

const MAX_KEY_LENGTH = 256;

/** Priority weight doubles every two steps around the default priority of 5. */
const PRIORITY_STEPS_PER_DOUBLING = 2;
const DEFAULT_PRIORITY = 5;

/** A request that passed all checks. */
export interface CheckedRequest {
  readonly account: Account;
  readonly plan: PipelinePlan;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey: string | undefined;
  /** Time that the request may take, in ms. */
  readonly deadlineMs: number;
  readonly weight: number;
  /** W3C trace context of the caller. */
  readonly traceparent: string | undefined;
}

/** Outcome of a check. */
export type Checked<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: Failure };

/**
 * Finds the client account of a request.
 * @param headers - request headers
 * @param snapshot - configuration in force
 * @returns the account, or why there is none
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  snapshot: ConfigurationSnapshot,
): Checked<Account> {
  const token = /^Bearer (\S+)$/i.exec(headers.authorization ?? '')?.[1];
  if (!token)
    return refuse('unauthenticated', 'the header "Authorization: Bearer TOKEN" is missing');
  const account = snapshot.accountsByToken.get(sha256(token));
  return account
    ? { ok: true, value: account }
    : refuse('unauthenticated', 'the token is not known');
}

/**
 * Checks a request of an authenticated account.
 * @param account - client account
 * @param templateName - template in the path
 * @param headers - request headers
 * @param body - text of the body
 * @param snapshot - configuration in force
 * @returns the checked request, or why it is refused
 */
export function checkRequest(
  account: Account,
  templateName: string,
  headers: IncomingHttpHeaders,
  body: string,
  snapshot: ConfigurationSnapshot,
): Checked<CheckedRequest> {
  const template = snapshot.templates.get(templateName);
  if (!template) return refuse('not-found', `there is no template "${templateName}"`);
  const entitlement = account.templates[templateName];
  if (!entitlement) return refuse('forbidden', `the account may not use "${templateName}"`);
  const parsed = parseBody(body);
  if (!parsed.ok) return parsed;
  const plan = createPipelinePlan(template, entitlement);
  if (plan.stages.length === 0) return refuse('forbidden', 'the account uses no stage of it');
  const key = checkKey(headers['idempotency-key'], plan);
  if (!key.ok) return key;
  const { input, timeoutMs } = parsed.value;
  const deadlineMs = Math.min(entitlement.deadlineMs, timeoutMs ?? Number.POSITIVE_INFINITY);
  return {
    ok: true,
    value: {
      account,
      plan,
      input,
      idempotencyKey: key.value,
      deadlineMs,
      weight: weightOf(account),
      traceparent: typeof headers.traceparent === 'string' ? headers.traceparent : undefined,
    },
  };
}

/**
 * @param kind - kind of refusal
 * @param message - what the caller can do about it
 * @returns a refusal of a request of which nothing ran
 */
export function refuse(
  kind: CallerErrorKind,
  message: string,
): { readonly ok: false; readonly failure: Failure } {
  return { ok: false, failure: { kind, message, outcome: 'not-run' } };
}

function parseBody(body: string): Checked<CallerRequest> {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch (error) {
    return refuse('bad-request', `the body is not JSON: ${(error as Error).message}`);
  }
  const parsed = CallerRequest.safeParse(value);
  if (parsed.success) return { ok: true, value: parsed.data };
  const problems = parsed.error.issues.map(
    (issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`,
  );
  return refuse('bad-request', problems.join('; '));
}

function checkKey(
  header: string | string[] | undefined,
  plan: PipelinePlan,
): Checked<string | undefined> {
  const key = Array.isArray(header) ? header[0] : header;
  if (!key) {
    return plan.needsIdempotencyKey
      ? refuse(
          'idempotency-key-required',
          `"${plan.template}" has a stage that must not be repeated; give the header Idempotency-Key`,
        )
      : { ok: true, value: undefined };
  }
  return key.length > MAX_KEY_LENGTH
    ? refuse('bad-request', `Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters`)
    : { ok: true, value: key };
}

/** Weight in agents' queues: share of spend times priority weight. */
function weightOf(account: Account): number {
  return account.share * 2 ** ((account.priority - DEFAULT_PRIORITY) / PRIORITY_STEPS_PER_DOUBLING);
}
