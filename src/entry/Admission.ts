/** Validates a caller's request before any stage is dispatched, so every refusal is `not-run`. */
import type { IncomingHttpHeaders } from 'node:http';
import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import { sha256 } from '../common/Digest.js';
import { createPipelinePlan, type PipelinePlan } from '../common/pipeline/PipelinePlan.js';
import type { CallerErrorKind } from '../common/protocol/CallerError.js';
import { CallerRequest } from '../common/protocol/CallerRequest.js';
import type { Account, ConfigurationSnapshot } from '../common/protocol/Configuration.js';
import type { Failure } from './Types.js';

/** In characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 256;

/** The queue weight doubles every two priority steps above the default priority. */
const PRIORITY_STEPS_PER_DOUBLING = 2;
const DEFAULT_PRIORITY = 5;

/** A request that passed validation. */
export interface ValidatedRequest {
  readonly account: Account;
  readonly plan: PipelinePlan;
  readonly input: Record<string, unknown>;
  readonly idempotencyKey: string | undefined;
  /** Time from arrival until the deadline, in ms. */
  readonly deadlineMs: number;
  /** Weight of the account in the fair queues of agents. */
  readonly weight: number;
  /** W3C trace context that the caller sent. */
  readonly traceparent: string | undefined;
}

/** A value that passed validation, or the failure to return to the caller. */
export type ValidationResult<T> =
  { readonly ok: true; readonly value: T } | { readonly ok: false; readonly failure: Failure };

/**
 * Finds the client account by the bearer token of a request.
 * @param headers - request headers
 * @param snapshot - configuration in force
 * @returns the account, or an `unauthenticated` failure
 */
export function authenticate(
  headers: IncomingHttpHeaders,
  snapshot: ConfigurationSnapshot,
): ValidationResult<Account> {
  const token = /^Bearer (\S+)$/i.exec(headers.authorization ?? '')?.[1];
  if (!token)
    return refuse('unauthenticated', 'the header "Authorization: Bearer TOKEN" is missing');
  const account = snapshot.accountsByToken.get(sha256(token));
  return account
    ? { ok: true, value: account }
    : refuse('unauthenticated', 'the token is not known');
}

/**
 * Validates a request of an authenticated account and plans its stages.
 * @param account - client account
 * @param templateName - template name from the path
 * @param headers - request headers
 * @param body - request body as text
 * @param snapshot - configuration in force
 * @returns the validated request, or the failure to return to the caller
 */
export function validateRequest(
  account: Account,
  templateName: string,
  headers: IncomingHttpHeaders,
  body: string,
  snapshot: ConfigurationSnapshot,
): ValidationResult<ValidatedRequest> {
  const template = snapshot.templates.get(templateName);
  if (!template) return refuse('not-found', `there is no template "${templateName}"`);
  const entitlement = account.templates[templateName];
  if (!entitlement)
    return refuse(
      'forbidden',
      `account "${account.id}" is not entitled to template "${templateName}"`,
    );
  const parsed = parseBody(body);
  if (!parsed.ok) return parsed;
  const plan = createPipelinePlan(template, entitlement);
  if (plan.stages.length === 0)
    return refuse(
      'forbidden',
      `account "${account.id}" is entitled to no stage of template "${templateName}"`,
    );
  const key = parseIdempotencyKey(headers['idempotency-key'], plan);
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
      weight: queueWeightOf(account),
      traceparent: typeof headers.traceparent === 'string' ? headers.traceparent : undefined,
    },
  };
}

/**
 * @param kind - error kind
 * @param message - reason, in terms that the caller can act on
 * @returns a failure with outcome `not-run`
 */
export function refuse(
  kind: CallerErrorKind,
  message: string,
): { readonly ok: false; readonly failure: Failure } {
  return { ok: false, failure: { kind, message, outcome: 'not-run' } };
}

function parseBody(body: string): ValidationResult<CallerRequest> {
  let value: unknown;
  try {
    value = parseJson(body, PAYLOAD_BOUNDS);
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

function parseIdempotencyKey(
  header: string | string[] | undefined,
  plan: PipelinePlan,
): ValidationResult<string | undefined> {
  const key = Array.isArray(header) ? header[0] : header;
  if (!key) {
    return plan.needsIdempotencyKey
      ? refuse(
          'idempotency-key-required',
          `"${plan.template}" has a stage that must not be repeated; give the header Idempotency-Key`,
        )
      : { ok: true, value: undefined };
  }
  return key.length > MAX_IDEMPOTENCY_KEY_LENGTH
    ? refuse(
        'bad-request',
        `Idempotency-Key has ${key.length} characters, the limit is ${MAX_IDEMPOTENCY_KEY_LENGTH}`,
      )
    : { ok: true, value: key };
}

/** Weight in the fair queues of agents: share of spend times priority factor. */
function queueWeightOf(account: Account): number {
  return account.share * 2 ** ((account.priority - DEFAULT_PRIORITY) / PRIORITY_STEPS_PER_DOUBLING);
}
