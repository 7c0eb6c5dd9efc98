import { setTimeout as sleep } from 'node:timers/promises';
import type { Claim } from '../common/protocol/Claim.js';
import type { Outcome } from '../common/protocol/CallerError.js';
import { NO_USAGE } from '../common/protocol/Usage.js';
import type { RouteChoice, RoutedServer } from '../common/routing/Types.js';
import { createAttemptId, deriveAttemptId } from './AttemptId.js';
import { placementOf } from './Placement.js';
import { actionAfter, type RefusalAction } from './RefusalActions.js';
import { raceWithHedge, type EndedAttempt } from './HedgeRace.js';
import { SentAttempt } from './SentAttempt.js';
import type { StageServices } from './StageRunner.js';
import type {
  AbandonReason,
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
const RETRY_PAUSE_MS = 50;
const MAX_RETRY_PAUSE_MS = 400;

/** Pause before a retry while the store is unavailable; doubles up to the maximum. */
const STORE_PAUSE_MS = 300;
const MAX_STORE_PAUSE_MS = 800;

/** Characters of an attempt id in explanations; enough to find the attempt in an agent's log. */
const ATTEMPT_LABEL_LENGTH = 12;

/** Suggested to callers whose request failed because no backend server was available. */
const RETRY_AFTER_MS = 1000;

/** End of the stage, or null to start another attempt. */
type Step = StageEnd | null;

/**
 * Runs one stage of one request. Sends attempts, one after another or hedged, until one gives a
 * result or the retry budget, the number of tries or the time is used up.
 */
export class StageRun {
  private readonly attempts: SentAttempt[] = [];

  private readonly tried = new Set<string>();

  private pauses = 0;

  private storePauses = 0;

  private replacesClaim: Claim | undefined;

  private tries = 0;

  private uncountedTries = 0;

  /** True once a derived attempt id was refused or turned out to be in use for another input. */
  private randomIds = false;

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
    this.services.retries.earn();
    while (!context.signal.aborted) {
      if (this.tries - this.uncountedTries >= MAX_TRIES) return this.failLast();
      const choice = this.route();
      if (!choice) {
        if (!(await this.pause())) return this.failLast();
        continue;
      }
      const attempt = this.send(choice);
      const ended = await this.follow(attempt);
      const step = await this.conclude(ended.attempt, ended.end);
      if (step) return step;
    }
    return this.abandon();
  }

  private route(): RouteChoice | null {
    return this.services.router.choose({
      pool: this.task.stage.pool,
      ...placementOf(this.task),
      exclude: this.tried,
    });
  }

  private send({ server, reason }: RouteChoice): SentAttempt {
    const attemptId = this.nextAttemptId();
    this.tried.add(server.agentId);
    this.tries += 1;
    return this.start(attemptId, server, reason);
  }

  private start(attemptId: string, server: RoutedServer, reason: string): SentAttempt {
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
    const label = attempt.id.slice(0, ATTEMPT_LABEL_LENGTH);
    context.decide(stage.name, 'send', `to ${server.agentId}, ${reason}, attempt ${label}`);
    return attempt;
  }

  /**
   * Waits for the end of an attempt and hedges it if the stage is idempotent. A hedge is sent only
   * within the hedge budget and only to a server with a free slot, so that hedges can't add to an
   * overload.
   */
  private follow(attempt: SentAttempt): Promise<EndedAttempt> {
    const { context, stage } = this.task;
    const { router, hedges } = this.services;
    const expected = router.times.expect({ template: context.template, stage: stage.name });
    if (!stage.idempotent || !hedges || !expected) {
      return attempt.end.then((end) => ({ attempt, end }));
    }
    hedges.earn();
    return raceWithHedge(attempt, expected.highFirstMs, () => {
      const choice = this.route();
      if (!choice || !router.hasFreeSlot(choice.server.agentId)) return null;
      if (!hedges.trySpend()) return null;
      context.decide(stage.name, 'hedge', `no answer after ${expected.highFirstMs} ms`);
      return this.send(choice);
    });
  }

  private usesDerivedIds(): boolean {
    return this.task.context.idempotencyKey !== undefined && !this.randomIds;
  }

  private nextAttemptId(): string {
    const { account, idempotencyKey } = this.task.context;
    if (idempotencyKey === undefined || this.randomIds) return createAttemptId();
    return deriveAttemptId(account.id, idempotencyKey, this.task.stage.name, this.attempts.length);
  }

  private conclude(attempt: SentAttempt, end: AttemptEnd): Promise<Step> | Step {
    const { context, stage } = this.task;
    if (end.kind !== 'result') {
      const detail = 'frame' in end ? `${end.kind}: ${end.frame.message}` : end.kind;
      context.decide(stage.name, 'attempt-ended', `${attempt.server.agentId}: ${detail}`);
    }
    switch (end.kind) {
      case 'result':
        return this.takeResult(attempt, end.frame);
      case 'refused':
        return this.takeRefusal(end.frame);
      case 'failed':
        return this.retryAfterFailure(`backend server failed: ${end.frame.message}`, true);
      case 'lost':
        return this.retryAfterFailure(`agent can't be reached: ${end.message}`, false);
      case 'not-sent':
        this.noteFailure('unavailable', `agent can't be reached: ${end.message}`);
        this.uncountedTries += 1;
        return null;
      default:
        return null;
    }
  }

  private takeResult(attempt: SentAttempt, frame: ResultFrame): StageEnd {
    this.services.agents.acknowledge(attempt.server.address, { attemptId: attempt.id, won: true });
    return this.finish(frame.output, frame.usage, frame.replayed);
  }

  private finish(text: string, usage: ResultFrame['usage'], replayed: boolean): StageEnd {
    const { stage, context } = this.task;
    const output: unknown = JSON.parse(text);
    const problem = this.services.schemas.findProblem(stage.outputSchema, output);
    if (problem) {
      const message = `output of stage "${stage.name}": ${problem}`;
      return { ok: false, failure: { kind: 'stage-failed', message, outcome: 'ran' } };
    }
    context.decide(stage.name, 'finish', replayed ? 'replayed result' : 'result');
    return { ok: true, result: { stage: stage.name, output, usage, replayed } };
  }

  /**
   * Retries within the retry budget. A non-idempotent attempt that reached its backend server is
   * not repeated, because it may have run.
   */
  private async retryAfterFailure(message: string, handedOver: boolean): Promise<Step> {
    const { stage } = this.task;
    if (!stage.idempotent && handedOver) {
      return this.fail('stage-failed', `stage "${stage.name}": ${message}`);
    }
    this.noteFailure('stage-failed', `stage "${stage.name}": ${message}`);
    if (!this.services.retries.trySpend()) {
      this.task.context.decide(stage.name, 'refuse', 'retry budget is spent');
      return this.failLast();
    }
    this.task.context.decide(stage.name, 'retry', message);
    return null;
  }

  private takeRefusal(frame: RefusedFrame): Promise<Step> | Step {
    const action = actionAfter(frame.reason);
    if (action.reachedServer === false) this.uncountedTries += 1;
    if (action.mayBeOld && this.usesDerivedIds()) {
      this.noteFailure(action.failure, frame.message, frame.retryAfterMs);
      this.randomIds = true;
      this.tried.clear();
      return null;
    }
    const handlers: Record<RefusalAction['kind'], () => Promise<Step> | Step> = {
      'try-next': () => {
        this.noteFailure(action.failure, frame.message, frame.retryAfterMs);
        return null;
      },
      'try-again': () => this.tryAgain(frame),
      wait: () => this.waitForStore(frame),
      'new-id': () => {
        if (!this.task.stage.idempotent) return this.fail('idempotency-key-reused', frame.message);
        this.randomIds = true;
        this.tried.clear();
        return null;
      },
      settle: () => this.settleClaim(frame),
      fail: () => this.fail(action.failure, frame.message, frame.retryAfterMs),
    };
    return handlers[action.kind]();
  }

  private async tryAgain(frame: RefusedFrame): Promise<Step> {
    this.noteFailure('unavailable', frame.message, frame.retryAfterMs);
    this.tried.clear();
    await this.sleep(RETRY_PAUSE_MS);
    return null;
  }

  /**
   * Retries after a pause while the store is unavailable. These retries are not charged to the
   * retry budget: they reach no backend server, and they add little load to the store, because few
   * agents run non-idempotent stages and each writes the claims of many attempts in one
   * transaction.
   */
  private async waitForStore(frame: RefusedFrame): Promise<Step> {
    this.noteFailure('unavailable', frame.message, frame.retryAfterMs);
    const waitMs = Math.min(MAX_STORE_PAUSE_MS, STORE_PAUSE_MS * 2 ** this.storePauses);
    const remainingMs = this.task.context.deadlineAt - this.services.clock.now();
    if (waitMs >= remainingMs) return this.failLast();
    this.task.context.decide(this.task.stage.name, 'retry', `in ${waitMs} ms: ${frame.message}`);
    this.storePauses += 1;
    this.tried.clear();
    await this.sleep(waitMs);
    return null;
  }

  private async settleClaim(frame: RefusedFrame): Promise<Step> {
    const { stage, context } = this.task;
    if (!frame.claim || context.idempotencyKey === undefined) {
      return this.failUnknown('the claim row is not readable');
    }
    const dispute = {
      claim: frame.claim,
      account: context.account.id,
      idempotencyKey: context.idempotencyKey,
      stage: stage.name,
      signal: context.signal,
    };
    for (;;) {
      const verdict = await this.services.claims.settle(dispute);
      context.decide(stage.name, 'settle', verdict.kind);
      if (verdict.kind === 'output') return this.finish(verdict.output, NO_USAGE, true);
      if (verdict.kind === 'unknown') return this.failUnknown(verdict.message);
      if (verdict.kind === 'replace') return this.replace(verdict.claim);
      const step = await this.join(verdict.claim);
      if (step !== 'again') return step;
      await this.sleep(RETRY_PAUSE_MS);
    }
  }

  private replace(claim: Claim): null {
    this.replacesClaim = claim;
    this.tried.clear();
    return null;
  }

  /** Waits for the end of the claim holder's attempt instead of running another one. */
  private async join(claim: Claim): Promise<Step | 'again'> {
    const { pool } = this.task.stage;
    const server = { ...claim, pool, failureDomain: '', region: '' };
    const attempt = this.start(claim.attemptId, server, 'holder of the claim');
    const end = await attempt.end;
    if (end.kind === 'result') return this.takeResult(attempt, end.frame);
    if (end.kind === 'failed') return this.retryAfterFailure(end.frame.message, true);
    const isVoided = end.kind === 'refused' && end.frame.reason === 'voided';
    if (isVoided && end.frame.incarnation === claim.incarnation) return this.replace(claim);
    if (end.kind === 'refused' && end.frame.reason === 'attempt-mismatch') {
      return this.fail('idempotency-key-reused', end.frame.message);
    }
    return 'again';
  }

  private failUnknown(message: string): Promise<StageEnd> {
    const text = `stage "${this.task.stage.name}" may have run: ${message}`;
    return this.fail('outcome-unknown', text, undefined, 'unknown');
  }

  /** @returns false if the deadline would pass during the pause. */
  private async pause(): Promise<boolean> {
    const waitMs = Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** this.pauses);
    const remainingMs = this.task.context.deadlineAt - this.services.clock.now();
    if (waitMs >= remainingMs) return false;
    this.pauses += 1;
    this.tried.clear();
    await this.sleep(waitMs);
    return true;
  }

  private async sleep(ms: number): Promise<void> {
    await sleep(ms, undefined, { signal: this.task.context.signal }).catch(() => undefined);
  }

  private abandon(): Promise<StageEnd> {
    const reason = this.task.context.signal.reason as AbandonReason;
    const { name } = this.task.stage;
    if (reason === 'caller-disconnected') {
      return this.fail('cancelled', `the caller disconnected during stage "${name}"`);
    }
    return this.fail('deadline-exceeded', `the deadline passed during stage "${name}"`);
  }

  private noteFailure(kind: Failure['kind'], message: string, retryAfterMs?: number): void {
    this.lastFailure = { kind, message, retryAfterMs };
  }

  private failLast(): Promise<StageEnd> {
    const { kind, message, retryAfterMs } = this.lastFailure;
    return this.fail(kind, message, retryAfterMs);
  }

  /** Ends the stage with a failure, after voiding all attempts that may still run. */
  private async fail(
    kind: Failure['kind'],
    message: string,
    retryAfterMs?: number,
    known?: Outcome,
  ): Promise<StageEnd> {
    const outcome = known ?? (await this.settleOutcome());
    return { ok: false, failure: { kind, message, outcome, retryAfterMs } };
  }

  private async settleOutcome(): Promise<Outcome> {
    const fates = await Promise.all(this.attempts.map((attempt) => attempt.voidIfWaiting()));
    if (this.task.stage.idempotent) {
      this.attempts
        .filter(({ fate }) => fate === 'unclear' || fate === 'finished')
        .forEach((attempt) => attempt.cancel());
    }
    if (fates.every((fate) => fate === 'not-run')) return 'not-run';
    const finished = fates.every((fate) => fate === 'not-run' || fate === 'finished');
    return this.task.stage.idempotent || finished ? 'ran' : 'unknown';
  }
}
