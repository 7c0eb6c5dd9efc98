import type { GateEntry } from '../common/gate/GateEntry.js';
import type { Chunk, ClaimTarget, GateEffect, RunEnd } from '../common/gate/Types.js';
import type { UsageMeter } from '../common/gate/UsageMeter.js';
import { claimKey, type Claim } from '../common/protocol/Claim.js';
import { NO_USAGE, type UsageClass } from '../common/protocol/Usage.js';
import type { Logger } from '../telemetry/Logger.js';
import type { AttemptTelemetry } from './AttemptTelemetry.js';
import type { GateMessage } from './GateMessage.js';
import type { AgentIdentity, Backend, ClaimStore, UsageLedger } from './Types.js';

/** Services that {@link AttemptRunner} uses to execute effects of the gate. */
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
  readonly [K in GateEffect['kind']]: (effect: Extract<GateEffect, { kind: K }>) => void;
};

/**
 * Executes the effects of the gate (claims, backend calls, usage records) and reports their
 * outcomes to the gate.
 */
export class AttemptRunner {
  private readonly abortControllers = new Map<string, AbortController>();

  private readonly handlers: EffectHandlers = {
    claim: ({ entry }) => this.acquireClaim(entry),
    replay: ({ entry }) => this.replay(entry),
    run: ({ entry }) => this.run(entry),
    abort: ({ entry, reason }) => this.abortControllers.get(entry.id)?.abort(reason),
    'settle-claim': ({ entry, target }) => this.settleClaim(entry, target),
    meter: ({ entry, usageClass }) => this.recordUsage(entry, usageClass),
    ended: ({ entry }) => this.services.telemetry.recordAttempt(entry),
  };

  /**
   * @param services - claims, backend server, ledger
   * @param send - sends a message to the gate
   */
  constructor(
    private readonly services: AttemptRunnerServices,
    private readonly send: (message: GateMessage) => void,
  ) {}

  /**
   * Starts the execution of an effect; its outcome is reported later.
   * @param effect - effect requested by the gate
   */
  execute(effect: GateEffect): void {
    this.handlers[effect.kind](effect as never);
  }

  private acquireClaim(entry: GateEntry): void {
    const { attempt, deadline } = entry;
    const request = {
      key: claimRowKey(entry),
      claim: this.createClaim(entry),
      replaces: attempt.replacesClaim,
      deadline,
    };
    this.services.claims.acquire(request).then(
      (end) => this.send({ type: 'claim-ended', entry, end }),
      (error: unknown) => {
        // After an unexpected error it is unknown whether the row was written.
        const end = { kind: 'unavailable', message: String(error), mayExist: true } as const;
        this.send({ type: 'claim-ended', entry, end });
      },
    );
  }

  private replay(entry: GateEntry): void {
    this.services.claims.replay(claimRowKey(entry), this.createClaim(entry)).then(
      (output) => this.send({ type: 'replay-ended', entry, output }),
      () => this.send({ type: 'replay-ended', entry, output: null }),
    );
  }

  private run(entry: GateEntry): void {
    const abortController = new AbortController();
    this.abortControllers.set(entry.id, abortController);
    const call = {
      attempt: entry.attempt,
      signal: abortController.signal,
      nextOffset: () => entry.stream.chunks.length,
      append: (offset: number, chunk: Chunk) => entry.stream.append(offset, chunk),
    };
    const onEnd = (runEnd: RunEnd) => {
      this.abortControllers.delete(entry.id);
      this.send({ type: 'run-ended', entry, end: runEnd });
    };
    this.services.backend.run(call).then(onEnd, (error: unknown) => {
      const usage = { ...NO_USAGE, calls: 1 };
      onEnd({ kind: 'lost', message: String(error), usage });
    });
  }

  private settleClaim(entry: GateEntry, target: ClaimTarget): void {
    const { outcome } = entry.stream;
    const output = outcome?.type === 'result' ? outcome.output : undefined;
    this.services.claims.settle(claimRowKey(entry), this.createClaim(entry), target, output).then(
      () => this.send({ type: 'claim-settled', entry }),
      (error: unknown) => this.services.logger.error('claim not settled', { error }),
    );
  }

  private recordUsage(entry: GateEntry, usageClass: UsageClass): void {
    const usage = this.services.meter.createLedgerEntry(entry, usageClass);
    if (usage) this.services.ledger.record(usage);
  }

  private createClaim(entry: GateEntry): Claim {
    const { agentId, incarnation, address } = this.services.identity;
    const { attemptId, requestId } = entry.attempt;
    const { inputDigest } = entry;
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

function claimRowKey({ attempt }: GateEntry): string {
  return claimKey(attempt.account, attempt.idempotencyKey ?? '', attempt.stage);
}
