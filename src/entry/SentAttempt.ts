import { monthOf } from '../common/ledger/UsageCounters.js';
import type { Usage, UsageClass } from '../common/protocol/Usage.js';
import type { FailureSignal, RoutedServer } from '../common/routing/Types.js';
import type { StageServices } from './StageRunner.js';
import type {
  AttemptContent,
  AttemptEnd,
  AttemptListener,
  AttemptTrace,
  RequestContext,
  ResultFrame,
} from './Types.js';

/** Longest wait for an agent to confirm that it voided or cancelled an attempt. */
const VOID_TIMEOUT_MS = 300;

/**
 * Whether an attempt ran on its backend server, as far as the entry knows.
 * - `not-run`: the backend server did not receive the attempt and never will.
 * - `finished`: the attempt ran to completion and the agent has its result.
 * - `ran`: the attempt ran and failed.
 * - `unclear`: the attempt may have run, or may still run.
 */
export type ExecutionStatus = 'not-run' | 'finished' | 'ran' | 'unclear';

/** Options of {@link SentAttempt}. */
export interface SentAttemptOptions {
  readonly content: AttemptContent;
  readonly server: RoutedServer;
  readonly context: RequestContext;
  readonly onChunk: (offset: number, text: string) => void;
}

/**
 * An attempt that was sent to an agent. Reads its frames, reports load, latency and failures to the
 * router, records its usage, and tracks whether the attempt ran.
 */
export class SentAttempt {
  /** Resolves with the end of the frame stream. */
  readonly end: Promise<AttemptEnd>;

  /** Resolves when the first chunk arrives; stays pending if no chunk does. */
  readonly firstChunk: Promise<void>;

  private resolveFirstChunk: () => void = () => undefined;

  private firstChunkAt: number | null = null;

  private readonly startedAt: number;

  private readonly trace: AttemptTrace;

  private readonly abortController = new AbortController();

  /** Incarnation of the agent that first received the attempt; null if unknown. */
  private incarnation: string | null;

  private resendCount = 0;

  private knownStatus: ExecutionStatus = 'unclear';

  constructor(
    private readonly services: StageServices,
    private readonly options: SentAttemptOptions,
  ) {
    this.firstChunk = new Promise((resolve) => {
      this.resolveFirstChunk = resolve;
    });
    this.startedAt = services.clock.now();
    this.incarnation = services.router.incarnationOf(options.server.agentId);
    this.trace = options.context.traceAttempt(options.content.stage, options.server.agentId);
    this.end = this.follow();
  }

  get id(): string {
    return this.options.content.attemptId;
  }

  get server(): RoutedServer {
    return this.options.server;
  }

  /** Whether a chunk has arrived. */
  get streaming(): boolean {
    return this.firstChunkAt !== null;
  }

  get executionStatus(): ExecutionStatus {
    return this.knownStatus;
  }

  /** Stops reading frames without cancelling the attempt, which the agent may still run. */
  stopFollowing(): void {
    // Without a reason, `abort` would create a DOMException with a stack trace.
    this.abortController.abort('stopped');
  }

  /**
   * Stops reading frames and voids the attempt if it has not started.
   * @returns whether the attempt ran; `unclear` if the agent can't be reached or was restarted
   */
  async voidIfWaiting(): Promise<ExecutionStatus> {
    this.stopFollowing();
    if (this.knownStatus !== 'unclear') return this.knownStatus;
    const status = await this.services.agents.voidAttempt(
      this.server.address,
      this.id,
      VOID_TIMEOUT_MS,
    );
    // A later incarnation does not know whether an earlier one ran the attempt, so its answer is
    // ignored.
    if (status && status.incarnation === this.incarnation) {
      if (status.state === 'voided') this.knownStatus = 'not-run';
      if (status.state === 'finished') this.knownStatus = 'finished';
      if (status.state === 'failed') this.knownStatus = 'ran';
    }
    return this.knownStatus;
  }

  /** Cancels the attempt on the agent, then acknowledges it as not used. */
  cancel(): void {
    this.stopFollowing();
    this.services.agents
      .cancel(this.server.address, this.id, VOID_TIMEOUT_MS)
      .then(() =>
        this.services.agents.acknowledge(this.server.address, { attemptId: this.id, won: false }),
      )
      .catch(() => undefined);
  }

  private async follow(): Promise<AttemptEnd> {
    const { router, agents } = this.services;
    const { content, server, context } = this.options;
    router.recordAttemptStart(server.agentId);
    const attempt = {
      content: { ...content, traceparent: this.trace.traceparent },
      address: server.address,
      deadlineAt: context.deadlineAt,
    };
    const stop = () => this.stopFollowing();
    if (context.signal.aborted) stop();
    context.signal.addEventListener('abort', stop);
    const end = await agents.run(attempt, this.createListener(), this.abortController.signal);
    context.signal.removeEventListener('abort', stop);
    router.recordAttemptEnd(server.agentId);
    this.handleEnd(end);
    this.trace.end('frame' in end && end.kind === 'refused' ? end.frame.reason : end.kind);
    return end;
  }

  private createListener(): AttemptListener {
    const { content, server, context } = this.options;
    return {
      onLoadReport: (load, incarnation) => {
        if (this.resendCount === 0) this.incarnation ??= incarnation;
        this.services.router.reportLoad(server.agentId, load, incarnation);
      },
      onChunk: (offset, text) => {
        if (this.firstChunkAt === null) {
          this.firstChunkAt = this.services.clock.now();
          this.trace.recordFirstChunk();
          this.resolveFirstChunk();
        }
        this.options.onChunk(offset, text);
      },
      onRestart: () => context.recordDecision(content.stage, 'restart', 'the agent was restarted'),
      onResend: (reason) => {
        this.resendCount += 1;
        context.recordDecision(content.stage, 'resend', reason);
      },
    };
  }

  private handleEnd(end: AttemptEnd): void {
    if (end.kind === 'not-sent') this.knownStatus = 'not-run';
    if (end.kind === 'refused' && this.isFirstIncarnation(end.frame.incarnation)) {
      this.knownStatus = 'not-run';
    }
    if (end.kind === 'not-sent' || end.kind === 'lost') this.reportFailure('unreachable');
    if (end.kind === 'refused' && end.frame.reason === 'backend-unavailable') {
      this.reportFailure('failed');
    }
    if (end.kind === 'failed') {
      this.knownStatus = end.frame.outcome === 'ran' ? 'ran' : 'unclear';
      this.reportFailure('failed');
      this.recordUsage(end.frame.usage, end.frame.incarnation, 'overhead');
    }
    if (end.kind === 'result') {
      this.knownStatus = 'finished';
      this.reportResult(end.frame);
      // The usage of a replayed result is recorded by the request that started the attempt.
      if (!end.frame.replayed) this.recordUsage(end.frame.usage, end.frame.incarnation, 'useful');
    }
  }

  private reportResult(frame: ResultFrame): void {
    if (frame.replayed) return;
    const elapsedMs = this.services.clock.now() - this.startedAt;
    const firstChunkMs =
      this.firstChunkAt === null ? elapsedMs : this.firstChunkAt - this.startedAt;
    const serviceMs = Math.max(0, elapsedMs - frame.queueMs);
    const { router } = this.services;
    if (
      router.reportResult(this.server, this.options.content, {
        serviceMs,
        firstChunkMs,
      })
    ) {
      this.recordEjection('slower than other servers of its pool');
    }
  }

  private reportFailure(signal: FailureSignal): void {
    if (this.services.router.reportFailure(this.server, signal)) this.recordEjection(signal);
  }

  private recordEjection(reason: string): void {
    const { content, context, server } = this.options;
    context.recordDecision(content.stage, 'eject', `${server.agentId}: ${reason}`);
  }

  /**
   * Whether a refusal came from the incarnation that first received the attempt. A refusal by a
   * later incarnation does not show whether the earlier one ran it.
   */
  private isFirstIncarnation(incarnation: string): boolean {
    return this.resendCount === 0 || this.incarnation === incarnation;
  }

  private recordUsage(usage: Usage, agentIncarnation: string, usageClass: UsageClass): void {
    const { content, server } = this.options;
    this.services.ledger.record({
      agentId: server.agentId,
      agentIncarnation,
      month: monthOf(this.services.clock.wallTime()),
      account: content.account,
      template: content.template,
      stage: content.stage,
      class: usageClass,
      usage,
      attempts: 1,
    });
  }
}
