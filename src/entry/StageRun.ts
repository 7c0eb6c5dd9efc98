import { setTimeout as sleep } from 'node:timers/promises';
import { PAYLOAD_BOUNDS, parseJson } from '../common/json/BoundedJson.js';
import type { Claim } from '../common/protocol/Claim.js';
import type { RequestOutcome } from '../common/protocol/CallerError.js';
import { NO_USAGE } from '../common/protocol/Usage.js';
import type { RouteChoice, RoutedServer } from '../common/routing/Types.js';
import { createAttemptId, deriveAttemptId } from './AttemptId.js';
import { placementOf } from './Placement.js';
import { actionAfter, type RefusalAction } from './RefusalActions.js';
import { raceWithHedge, type EndedAttempt } from './HedgeRace.js';
import { SentAttempt } from './SentAttempt.js';
import type { StageServices } from './StageRunner.js';
import type {
  AbortReason,
  AttemptEnd,
  Failure,
  RefusedFrame,
  ResultFrame,
  StageEnd,
  StageTask,
} from './Types.js';

/**
 * Limit on attempts of one stage that a server refused or failed. A candidate set has 8 servers, so
 * further tries rarely find a better one. Attempts that did not reach a server are not counted.
 */
const MAX_TRIES = 6;

/** Pause before servers that were tried become eligible again; doubles up to the maximum. */
const RETRY_BACKOFF_MS = 50;
const MAX_RETRY_BACKOFF_MS = 400;

/** Pause before a retry while the store is unavailable; doubles up to the maximum. */
const STORE_BACKOFF_MS = 300;
const MAX_STORE_BACKOFF_MS = 800;

/** Characters of an attempt id in explanations; enough to find the attempt in an agent's log. */
const ATTEMPT_ID_PREFIX_LENGTH = 12;

/** Suggested to callers whose request failed because no backend server was available. */
const RETRY_AFTER_MS = 1000;

/** End of the stage, or null to start another attempt. */
type EndOrRetry = StageEnd | null;

/**
 * Runs one stage of one request. Sends attempts, one after another or hedged, until one gives a
 * result or the retry budget, the number of tries or the time is used up.
 */
export class StageRun {
  private readonly attempts: SentAttempt[] = [];

  private readonly triedAgents = new Set<string>();

  private backoffCount = 0;

  private storeBackoffCount = 0;

  private replacesClaim: Claim | undefined;

  private tries = 0;

  private uncountedTries = 0;

  /** True once a derived attempt id was refused or turned out to be in use for another input. */
  private useRandomIds = false;

  private lastFailure: Omit<Failure, 'outcome'> = {
    kind: 'unavailable',
    message: 'no backend server is available',
    retryAfterMs: RETRY_AFTER_MS,
  };

  constructor(
    private readonly services: StageServices,
    private readonly task: StageTask,
  ) {}

  /** @returns the result of the stage, or its failure. */
  async run(): Promise<StageEnd> {
    const { stage, input, context } = this.task;
    const problem = this.services.schemas.findProblem(stage.inputSchema, input);
    if (problem) return this.fail('bad-request', `input of stage "${stage.name}": ${problem}`);
    this.services.retryBudget.recordFirstAttempt();
    while (!context.signal.aborted) {
      if (this.tries - this.uncountedTries >= MAX_TRIES) return this.failWithLastFailure();
      const choice = this.route();
      if (!choice) {
        if (!(await this.backOff())) return this.failWithLastFailure();
        continue;
      }
      const attempt = this.sendAttempt(choice);
      const ended = await this.followWithHedge(attempt);
      const stageEnd = await this.handleEnd(ended.attempt, ended.end);
      if (stageEnd) return stageEnd;
    }
    return this.failAborted();
  }

  private route(): RouteChoice | null {
    return this.services.router.choose({
      pool: this.task.stage.pool,
      ...placementOf(this.task),
      exclude: this.triedAgents,
    });
  }

  private sendAttempt({ server, reason }: RouteChoice): SentAttempt {
    const attemptId = this.nextAttemptId();
    this.triedAgents.add(server.agentId);
    this.tries += 1;
    return this.startAttempt(attemptId, server, reason);
  }

  private startAttempt(attemptId: string, server: RoutedServer, reason: string): SentAttempt {
    const { context, stage, input, onChunk } = this.task;
    const attempt = new SentAttempt(this.services, {
      server,
      context,
      onChunk,
      content: {
        attemptId,
        requestId: context.requestId,
        account: context.account.id,
        template: context.template,
        stage: stage.name,
        kind: stage.kind,
        model: stage.model,
        operation: stage.operation,
        input,
        idempotent: stage.idempotent,
        idempotencyKey: context.idempotencyKey,
        replacesClaim: this.replacesClaim,
        weight: context.weight,
        priority: context.account.priority,
        hedge: this.tries > 1,
        pinnedRevision: context.pinnedRevision,
      },
    });
    this.attempts.push(attempt);
    const label = attempt.id.slice(0, ATTEMPT_ID_PREFIX_LENGTH);
    context.recordDecision(stage.name, 'send', `to ${server.agentId}, ${reason}, attempt ${label}`);
    return attempt;
  }

  /**
   * Waits for the end of an attempt and hedges it if the stage is idempotent. Hedges are limited by
   * a budget and sent only to servers with a free slot, so that they can't add to an overload.
   */
  private followWithHedge(attempt: SentAttempt): Promise<EndedAttempt> {
    const { context, stage } = this.task;
    const { router, hedgeBudget } = this.services;
    const expected = router.stageTimes.expectedTimes({
      template: context.template,
      stage: stage.name,
    });
    if (!stage.idempotent || !hedgeBudget || !expected) {
      return attempt.end.then((end) => ({ attempt, end }));
    }
    hedgeBudget.recordFirstAttempt();
    return raceWithHedge(attempt, expected.p95FirstChunkMs, () => {
      const choice = this.route();
      if (!choice || !router.hasFreeSlot(choice.server.agentId)) return null;
      if (!hedgeBudget.trySpend()) return null;
      context.recordDecision(stage.name, 'hedge', `no answer after ${expected.p95FirstChunkMs} ms`);
      return this.sendAttempt(choice);
    });
  }

  private usesDerivedIds(): boolean {
    return this.task.context.idempotencyKey !== undefined && !this.useRandomIds;
  }

  private nextAttemptId(): string {
    const { account, idempotencyKey } = this.task.context;
    if (idempotencyKey === undefined || this.useRandomIds) return createAttemptId();
    return deriveAttemptId(account.id, idempotencyKey, this.task.stage.name, this.attempts.length);
  }

  private handleEnd(attempt: SentAttempt, end: AttemptEnd): Promise<EndOrRetry> | EndOrRetry {
    const { context, stage } = this.task;
    if (end.kind !== 'result') {
      const detail = 'frame' in end ? `${end.kind}: ${end.frame.message}` : end.kind;
      context.recordDecision(stage.name, 'attempt-ended', `${attempt.server.agentId}: ${detail}`);
    }
    switch (end.kind) {
      case 'result':
        return this.acceptResult(attempt, end.frame);
      case 'refused':
        return this.handleRefusal(end.frame);
      case 'failed':
        return this.retryAfterFailure(`backend server failed: ${end.frame.message}`, true);
      case 'lost':
        return this.retryAfterFailure(`agent can't be reached: ${end.message}`, false);
      case 'not-sent':
        this.setLastFailure('unavailable', `agent can't be reached: ${end.message}`);
        this.uncountedTries += 1;
        return null;
      default:
        return null;
    }
  }

  private acceptResult(attempt: SentAttempt, frame: ResultFrame): StageEnd {
    this.services.agents.acknowledge(attempt.server.address, { attemptId: attempt.id, won: true });
    return this.finish(frame.output, frame.usage, frame.replayed);
  }

  private finish(text: string, usage: ResultFrame['usage'], replayed: boolean): StageEnd {
    const { stage, context } = this.task;
    const output = parseJson(text, PAYLOAD_BOUNDS);
    const problem = this.services.schemas.findProblem(stage.outputSchema, output);
    if (problem) {
      const message = `output of stage "${stage.name}": ${problem}`;
      return { ok: false, failure: { kind: 'stage-failed', message, outcome: 'ran' } };
    }
    context.recordDecision(stage.name, 'finish', replayed ? 'replayed result' : 'result');
    return { ok: true, result: { stage: stage.name, output, usage, replayed } };
  }

  /** Retries within the retry budget unless a non-idempotent attempt may have run at its server. */
  private async retryAfterFailure(message: string, reachedBackend: boolean): Promise<EndOrRetry> {
    const { stage } = this.task;
    if (!stage.idempotent && reachedBackend) {
      return this.fail('stage-failed', `stage "${stage.name}": ${message}`);
    }
    this.setLastFailure('stage-failed', `stage "${stage.name}": ${message}`);
    if (!this.services.retryBudget.trySpend()) {
      this.task.context.recordDecision(stage.name, 'refuse', 'retry budget is spent');
      return this.failWithLastFailure();
    }
    this.task.context.recordDecision(stage.name, 'retry', message);
    return null;
  }

  private handleRefusal(frame: RefusedFrame): Promise<EndOrRetry> | EndOrRetry {
    const action = actionAfter(frame.reason);
    if (action.countsAsTry === false) this.uncountedTries += 1;
    if (action.mayBeStale && this.usesDerivedIds()) {
      this.setLastFailure(action.errorKind, frame.message, frame.retryAfterMs);
      this.useRandomIds = true;
      this.triedAgents.clear();
      return null;
    }
    const handlers: Record<RefusalAction['kind'], () => Promise<EndOrRetry> | EndOrRetry> = {
      'try-next': () => {
        this.setLastFailure(action.errorKind, frame.message, frame.retryAfterMs);
        return null;
      },
      'try-again': () => this.retryAfterPause(frame),
      wait: () => this.waitForStore(frame),
      'new-id': () => {
        if (!this.task.stage.idempotent) return this.fail('idempotency-key-reused', frame.message);
        this.useRandomIds = true;
        this.triedAgents.clear();
        return null;
      },
      settle: () => this.settleClaim(frame),
      fail: () => this.fail(action.errorKind, frame.message, frame.retryAfterMs),
    };
    return handlers[action.kind]();
  }

  private async retryAfterPause(frame: RefusedFrame): Promise<EndOrRetry> {
    this.setLastFailure('unavailable', frame.message, frame.retryAfterMs);
    this.triedAgents.clear();
    await this.sleep(RETRY_BACKOFF_MS);
    return null;
  }

  /**
   * Retries after a pause while the store is unavailable. Not charged to the retry budget, because
   * no backend server is reached and the load on the store is low: few agents run non-idempotent
   * stages, and each writes the claims of many attempts in one transaction.
   */
  private async waitForStore(frame: RefusedFrame): Promise<EndOrRetry> {
    this.setLastFailure('unavailable', frame.message, frame.retryAfterMs);
    const waitMs = Math.min(MAX_STORE_BACKOFF_MS, STORE_BACKOFF_MS * 2 ** this.storeBackoffCount);
    const remainingMs = this.task.context.deadlineAt - this.services.clock.now();
    if (waitMs >= remainingMs) return this.failWithLastFailure();
    this.task.context.recordDecision(
      this.task.stage.name,
      'retry',
      `in ${waitMs} ms: ${frame.message}`,
    );
    this.storeBackoffCount += 1;
    this.triedAgents.clear();
    await this.sleep(waitMs);
    return null;
  }

  private async settleClaim(frame: RefusedFrame): Promise<EndOrRetry> {
    const { stage, context } = this.task;
    if (!frame.claim || context.idempotencyKey === undefined) {
      return this.failWithUnknownOutcome('the claim row is not readable');
    }
    const conflict = {
      claim: frame.claim,
      account: context.account.id,
      idempotencyKey: context.idempotencyKey,
      stage: stage.name,
      signal: context.signal,
    };
    for (;;) {
      const settlement = await this.services.claims.settle(conflict);
      context.recordDecision(stage.name, 'settle', settlement.kind);
      if (settlement.kind === 'output') return this.finish(settlement.output, NO_USAGE, true);
      if (settlement.kind === 'unknown') return this.failWithUnknownOutcome(settlement.message);
      if (settlement.kind === 'replace') return this.retryReplacing(settlement.claim);
      const joined = await this.joinHolder(settlement.claim);
      if (joined !== 'again') return joined;
      await this.sleep(RETRY_BACKOFF_MS);
    }
  }

  private retryReplacing(claim: Claim): null {
    this.replacesClaim = claim;
    this.triedAgents.clear();
    return null;
  }

  /** Waits for the end of the claim holder's attempt instead of running another one. */
  private async joinHolder(claim: Claim): Promise<EndOrRetry | 'again'> {
    const { pool } = this.task.stage;
    const server = { ...claim, pool, failureDomain: '', region: '' };
    const attempt = this.startAttempt(claim.attemptId, server, 'holder of the claim');
    const end = await attempt.end;
    if (end.kind === 'result') return this.acceptResult(attempt, end.frame);
    if (end.kind === 'failed') return this.retryAfterFailure(end.frame.message, true);
    const isVoided = end.kind === 'refused' && end.frame.reason === 'voided';
    if (isVoided && end.frame.incarnation === claim.incarnation) return this.retryReplacing(claim);
    if (end.kind === 'refused' && end.frame.reason === 'attempt-mismatch') {
      return this.fail('idempotency-key-reused', end.frame.message);
    }
    return 'again';
  }

  private failWithUnknownOutcome(message: string): Promise<StageEnd> {
    const text = `stage "${this.task.stage.name}" may have run: ${message}`;
    return this.fail('outcome-unknown', text, undefined, 'unknown');
  }

  /** @returns false if the deadline would pass during the pause. */
  private async backOff(): Promise<boolean> {
    const waitMs = Math.min(MAX_RETRY_BACKOFF_MS, RETRY_BACKOFF_MS * 2 ** this.backoffCount);
    const remainingMs = this.task.context.deadlineAt - this.services.clock.now();
    if (waitMs >= remainingMs) return false;
    this.backoffCount += 1;
    this.triedAgents.clear();
    await this.sleep(waitMs);
    return true;
  }

  private async sleep(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: this.task.context.signal }).catch(() => undefined);
  }

  private failAborted(): Promise<StageEnd> {
    const reason = this.task.context.signal.reason as AbortReason;
    const { name } = this.task.stage;
    if (reason === 'caller-disconnected') {
      return this.fail('cancelled', `the caller disconnected during stage "${name}"`);
    }
    return this.fail('deadline-exceeded', `the deadline passed during stage "${name}"`);
  }

  private setLastFailure(kind: Failure['kind'], message: string, retryAfterMs?: number): void {
    this.lastFailure = { kind, message, retryAfterMs };
  }

  private failWithLastFailure(): Promise<StageEnd> {
    const { kind, message, retryAfterMs } = this.lastFailure;
    return this.fail(kind, message, retryAfterMs);
  }

  /** Ends the stage with a failure, after voiding all attempts that may still run. */
  private async fail(
    kind: Failure['kind'],
    message: string,
    retryAfterMs?: number,
    knownOutcome?: RequestOutcome,
  ): Promise<StageEnd> {
    const outcome = knownOutcome ?? (await this.determineOutcome());
    return { ok: false, failure: { kind, message, outcome, retryAfterMs } };
  }

  private async determineOutcome(): Promise<RequestOutcome> {
    const statuses = await Promise.all(this.attempts.map((attempt) => attempt.voidIfWaiting()));
    if (this.task.stage.idempotent) {
      this.attempts
        .filter(
          ({ executionStatus }) => executionStatus === 'unclear' || executionStatus === 'finished',
        )
        .forEach((attempt) => attempt.cancel());
    }
    if (statuses.every((status) => status === 'not-run')) return 'not-run';
    const finished = statuses.every((status) => status === 'not-run' || status === 'finished');
    return this.task.stage.idempotent || finished ? 'ran' : 'unknown';
  }
}
