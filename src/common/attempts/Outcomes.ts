/** Factories for the outcomes of attempts. */
import { sha256 } from '../Digest.js';
import type { RefusalReason } from '../protocol/Attempt.js';
import { NO_USAGE, type Usage } from '../protocol/Usage.js';
import { AttemptOutput } from './AttemptOutput.js';
import type { AttemptRecord } from './AttemptRecord.js';
import type { ClaimResult, Failure, AttemptOutcome, Refusal, RunResult, Success } from './Types.js';

/**
 * Creates the outcome of an attempt that does not run.
 * @param reason - why the attempt does not run
 * @param message - detail for logs and explanations
 * @param extra - content of the claim row, or when to retry
 */
export function refusal(
  reason: RefusalReason,
  message: string,
  extra: Partial<Pick<Refusal, 'claim' | 'retryAfterMs'>> = {},
): Refusal {
  return { type: 'refused', reason, message, ...extra };
}

/**
 * Creates the outcome of an attempt that was handed to the backend server without getting a result.
 * @param outcome - `ran` if the attempt certainly ran, otherwise `unknown`
 * @param message - cause of the failure
 * @param usage - usage as far as it is known
 */
export function failure(
  outcome: Failure['outcome'],
  message: string,
  usage: Usage = NO_USAGE,
): Failure {
  return { type: 'failed', outcome, message, usage };
}

/**
 * Creates the outcome of an attempt whose run returned a result.
 * @param record - attempt with its times
 * @param end - output and usage of the run
 */
export function successOfRun(
  record: AttemptRecord,
  end: Extract<RunResult, { kind: 'done' }>,
): Success {
  const startedAt = record.startedAt ?? record.receivedAt;
  return {
    ...describeOutput(end.output),
    usage: end.usage,
    queueMs: startedAt - record.receivedAt,
    serviceMs: (record.endedAt ?? startedAt) - startedAt,
    replayed: false,
  };
}

/**
 * Creates the outcome of an attempt that is answered with a stored result.
 * @param output - JSON text stored by an earlier run
 */
export function successOfReplay(output: string): Success {
  return { ...describeOutput(output), usage: NO_USAGE, queueMs: 0, serviceMs: 0, replayed: true };
}

/** Refusal of an attempt that cannot finish within its deadline. */
export const INFEASIBLE = refusal('infeasible', 'the attempt cannot finish within its deadline');

/**
 * Creates the refusal of an attempt that arrives at a full queue.
 * @param retryAfterMs - expected time until the queue has room, in milliseconds
 */
export function queueFull(retryAfterMs: number): Refusal {
  return refusal('queue-full', 'too many attempts wait', { retryAfterMs });
}

/** Refusal of a non-idempotent attempt without a key: a second run could not be prevented. */
export const MISSING_IDEMPOTENCY_KEY = refusal(
  'invalid',
  'a non-idempotent attempt needs an idempotency key',
);

/** Refusal of attempts that have not started when the server drains. */
export const DRAINING = refusal('draining', 'the server is draining');

/** Refusal of an attempt whose sender uses an outdated configuration. */
export const STALE_REVISION = refusal('stale-revision', 'the sender has to catch up first');

/** Refusal of an attempt that was voided or cancelled before it ran. */
export const VOIDED = refusal('voided', 'voided before it ran');

/** Refusal of a submission whose attempt id was used with another account, stage or input. */
export const ATTEMPT_MISMATCH = refusal(
  'attempt-mismatch',
  'the attempt id is in use for other work',
);

/**
 * Creates the output of an attempt that ends without a run.
 * @param outcome - outcome of the attempt
 * @returns output without chunks that has ended with the outcome
 */
export function endedOutput(outcome: AttemptOutcome): AttemptOutput {
  const output = new AttemptOutput();
  output.finish(outcome);
  return output;
}

/**
 * Creates the outcome of an attempt whose run returned no result.
 * @param end - how the run ended
 */
export function failureOfRun(end: Exclude<RunResult, { kind: 'done' }>): Failure {
  const usage = end.kind === 'unreachable' ? NO_USAGE : end.usage;
  return failure(end.kind === 'lost' ? 'unknown' : 'ran', end.message, usage);
}

type UnacquiredClaimResult = Exclude<ClaimResult, { kind: 'acquired' }>;

const OUTCOME_BY_CLAIM_END: {
  readonly [K in UnacquiredClaimResult['kind']]: (
    end: Extract<UnacquiredClaimResult, { kind: K }>,
  ) => AttemptOutcome;
} = {
  replay: (end) => successOfReplay(end.output),
  claimed: (end) =>
    refusal('claimed', 'another attempt holds the claim of this idempotency key', {
      claim: end.claim,
    }),
  'key-reused': (end) =>
    refusal('idempotency-key-reused', 'the idempotency key was used with another input', {
      claim: end.claim,
    }),
  'given-up': () => refusal('voided', 'this attempt released its claim earlier'),
  'outcome-unknown': () => failure('unknown', 'the outcome of the earlier run is unknown'),
  unavailable: (end) => refusal('claim-unavailable', end.message),
};

/**
 * Creates the outcome of an attempt that could not acquire its claim.
 * @param end - how the claim request ended
 */
export function outcomeOfClaim(end: UnacquiredClaimResult): AttemptOutcome {
  return OUTCOME_BY_CLAIM_END[end.kind](end as never);
}

function describeOutput(output: string): Pick<Success, 'type' | 'output' | 'length' | 'digest'> {
  return {
    type: 'result',
    output,
    length: Buffer.byteLength(output, 'utf8'),
    digest: sha256(output),
  };
}
