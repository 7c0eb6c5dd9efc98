import type { AttemptRecord } from '../common/attempts/AttemptRecord.js';
import type { Chunk, ClaimTarget, AttemptEffect, RunResult } from '../common/attempts/Types.js';
import type { UsageMeter } from '../common/attempts/UsageMeter.js';
import { claimKey, type Claim } from '../common/protocol/Claim.js';
import { NO_USAGE, type UsageClass } from '../common/protocol/Usage.js';
import type { Logger } from '../telemetry/Logger.js';
import type { AttemptTelemetry } from './AttemptTelemetry.js';
import type { AttemptMessage } from './AttemptMessage.js';
import type { AgentIdentity, Backend, ClaimStore, UsageLedger } from './Types.js';

/** Services that {@link AttemptRunner} uses to execute effects of the attempt state machine. */
export interface AttemptRunnerServices {
  readonly identity: AgentIdentity;
  readonly claims: ClaimStore;
  readonly backend: Backend;
  readonly meter: UsageMeter;
  readonly ledger: UsageLedger;
  readonly telemetry: AttemptTelemetry;
  readonly logger: Logger;
}

type EffectHandlers = {
  readonly [K in AttemptEffect['kind']]: (effect: Extract<AttemptEffect, { kind: K }>) => void;
};

/**
 * Executes the effects of the attempt state machine (claims, backend calls, usage records) and
 * reports their outcomes to it.
 */
export class AttemptRunner {
  private readonly abortControllers = new Map<string, AbortController>();

  private readonly handlers: EffectHandlers = {
    claim: ({ record }) => this.acquireClaim(record),
    replay: ({ record }) => this.replay(record),
    run: ({ record }) => this.run(record),
    abort: ({ record, reason }) => this.abortControllers.get(record.id)?.abort(reason),
    'settle-claim': ({ record, target }) => this.settleClaim(record, target),
    meter: ({ record, usageClass }) => this.recordUsage(record, usageClass),
    ended: ({ record }) => this.services.telemetry.recordAttempt(record),
  };

  /**
   * @param services - claims, backend server, ledger
   * @param send - sends a message to the attempt state machine
   */
  constructor(
    private readonly services: AttemptRunnerServices,
    private readonly send: (message: AttemptMessage) => void,
  ) {}

  /**
   * Starts the execution of an effect; its outcome is reported later.
   * @param effect - effect requested by the attempt state machine
   */
  execute(effect: AttemptEffect): void {
    this.handlers[effect.kind](effect as never);
  }

  private acquireClaim(record: AttemptRecord): void {
    const { attempt, deadline } = record;
    const request = {
      key: claimRowKey(record),
      claim: this.createClaim(record),
      replaces: attempt.replacesClaim,
      deadline,
    };
    this.services.claims.acquire(request).then(
      (end) => this.send({ type: 'claim-ended', record, end }),
      (error: unknown) => {
        // After an unexpected error it is unknown whether the row was written.
        const end = { kind: 'unavailable', message: String(error), mayExist: true } as const;
        this.send({ type: 'claim-ended', record, end });
      },
    );
  }

  private replay(record: AttemptRecord): void {
    this.services.claims.replay(claimRowKey(record), this.createClaim(record)).then(
      (output) => this.send({ type: 'replay-ended', record, output }),
      () => this.send({ type: 'replay-ended', record, output: null }),
    );
  }

  private run(record: AttemptRecord): void {
    const abortController = new AbortController();
    this.abortControllers.set(record.id, abortController);
    const call = {
      attempt: record.attempt,
      signal: abortController.signal,
      nextOffset: () => record.output.chunks.length,
      append: (offset: number, chunk: Chunk) => record.output.append(offset, chunk),
    };
    const onEnd = (runResult: RunResult) => {
      this.abortControllers.delete(record.id);
      this.send({ type: 'run-ended', record, end: runResult });
    };
    this.services.backend.run(call).then(onEnd, (error: unknown) => {
      const usage = { ...NO_USAGE, calls: 1 };
      onEnd({ kind: 'lost', message: String(error), usage });
    });
  }

  private settleClaim(record: AttemptRecord, target: ClaimTarget): void {
    const { outcome } = record.output;
    const output = outcome?.type === 'result' ? outcome.output : undefined;
    this.services.claims.settle(claimRowKey(record), this.createClaim(record), target, output).then(
      () => this.send({ type: 'claim-settled', record }),
      (error: unknown) => this.services.logger.error('claim not settled', { error }),
    );
  }

  private recordUsage(record: AttemptRecord, usageClass: UsageClass): void {
    const usage = this.services.meter.createLedgerEntry(record, usageClass);
    if (usage) this.services.ledger.record(usage);
  }

  private createClaim(record: AttemptRecord): Claim {
    const { agentId, incarnation, address } = this.services.identity;
    const { attemptId, requestId } = record.attempt;
    const { inputDigest } = record;
    return {
      state: 'claimed',
      attemptId,
      agentId,
      incarnation,
      address,
      inputDigest,
      requestId,
    };
  }
}

function claimRowKey({ attempt }: AttemptRecord): string {
  return claimKey(attempt.account, attempt.idempotencyKey ?? '', attempt.stage);
}
