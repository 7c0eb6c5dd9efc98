/** Builds outcomes of attempts. */
import { sha256 } from '../Digest.js';
import type { RefusalReason } from '../protocol/Attempt.js';
import { NO_USAGE, type Usage } from '../protocol/Usage.js';
import { AttemptStream } from './AttemptStream.js';
import type { GateEntry } from './GateEntry.js';
import type { ClaimEnd, Failure, Outcome, Refusal, RunEnd, Success } from './Types.js';

/**
 * @param reason - why the attempt does not run
 * @param message - detail for logs and explanations
 * @param extra - claim row or retry hint
 */
export function refusal(
  reason: RefusalReason,
  message: string,
  extra: Partial<Pick<Refusal, 'claim' | 'retryAfterMs'>> = {},
): Refusal {
  return { type: 'refused', reason, message, ...extra };
}

/**
 * @param outcome - whether the attempt ran for certain
 * @param message - what went wrong
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
 * @param entry - attempt with its times
 * @param end - output and usage of the run
 */
export function successOfRun(entry: GateEntry, end: Extract<RunEnd, { kind: 'done' }>): Success {
  const startedAt = entry.startedAt ?? entry.receivedAt;
  return {
    ...describeOutput(end.output),
    usage: end.usage,
    queueMs: startedAt - entry.receivedAt,
    serviceMs: (entry.endedAt ?? startedAt) - startedAt,
    replayed: false,
  };
}

/** @param output - JSON text stored by an earlier run */
export function successOfReplay(output: string): Success {
  return { ...describeOutput(output), usage: NO_USAGE, queueMs: 0, serviceMs: 0, replayed: true };
}

/** The attempt cannot be done in time. */
export const INFEASIBLE = refusal('infeasible', 'the attempt cannot finish within its deadline');

/**
 * @param retryAfterMs - expected time until the queue has room, in milliseconds
 * @returns refusal of an attempt for which the queue has no room
 */
export function queueFull(retryAfterMs: number): Refusal {
  return refusal('queue-full', 'too many attempts wait', { retryAfterMs });
}

/** Without a key nothing could keep the attempt from running twice. */
export const KEY_MISSING = refusal('invalid', 'a non-idempotent attempt needs an idempotency key');

export const DRAINING = refusal('draining', 'the server is draining');

/** The sender acts on an old configuration. */
export const STALE_REVISION = refusal('stale-revision', 'the sender has to catch up first');

export const VOIDED = refusal('voided', 'voided before it ran');

/** The attempt id stands for other work here. */
export const MISMATCH = refusal('attempt-mismatch', 'the attempt id is in use for other work');

/**
 * @param outcome - how an attempt ended without a run here
 * @returns stream that has ended
 */
export function endedStream(outcome: Outcome): AttemptStream {
  const stream = new AttemptStream();
  stream.finish(outcome);
  return stream;
}

/** @param end - run without a result */
export function failureOfRun(end: Exclude<RunEnd, { kind: 'done' }>): Failure {
  const usage = end.kind === 'unreachable' ? NO_USAGE : end.usage;
  return failure(end.kind === 'lost' ? 'unknown' : 'ran', end.message, usage);
}

type Unclaimed = Exclude<ClaimEnd, { kind: 'acquired' }>;

const OUTCOMES: {
  readonly [K in Unclaimed['kind']]: (end: Extract<Unclaimed, { kind: K }>) => Outcome;
} = {
  replay: (end) => successOfReplay(end.output),
  claimed: (end) =>
    refusal('claimed', 'another attempt holds the claim of this key', { claim: end.claim }),
  'key-reused': (end) =>
    refusal('idempotency-key-reused', 'the key was used with another input', { claim: end.claim }),
  'given-up': () => refusal('voided', 'this attempt gave its claim up before'),
  'outcome-unknown': () => failure('unknown', 'the outcome of the earlier run is unknown'),
  unavailable: (end) => refusal('claim-unavailable', end.message),
};

/** @param end - claim request that did not get the row */
export function outcomeOfClaim(end: Unclaimed): Outcome {
  return OUTCOMES[end.kind](end as never);
}

function describeOutput(output: string): Pick<Success, 'type' | 'output' | 'length' | 'digest'> {
  return {
    type: 'result',
    output,
    length: Buffer.byteLength(output, 'utf8'),
    digest: sha256(output),
  };
}
