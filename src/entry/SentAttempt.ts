import { monthOf } from '../common/ledger/LedgerBook.js';
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

/** Time for an agent to confirm that it voided or cancelled an attempt. */
const VOID_TIMEOUT_MS = 300;

/**
 * What is known about an attempt.
 * - `not-run`: it was not handed to the backend server and never will be.
 * - `finished`: it ran to its end and the agent has its result.
 * - `ran`: it ran, but not to a result.
 * - `unclear`: it may run or have run.
 */
export type Fate = 'not-run' | 'finished' | 'ran' | 'unclear';

/** How to start an attempt. */
export interface AttemptStart {
  readonly content: AttemptContent;
  readonly server: RoutedServer;
  readonly context: RequestContext;
  readonly onChunk: (offset: number, text: string) => void;
}

/** An attempt that was sent to an agent. */
export class SentAttempt {
  /** Resolves when following the attempt has ended. */
  readonly end: Promise<AttemptEnd>;

  /** Resolves when the first chunk arrives; never if there are no chunks. */
  readonly firstChunk: Promise<void>;

  private resolveFirstChunk: () => void = () => undefined;

  private firstChunkAt: number | null = null;

  private readonly startedAt: number;

  private readonly trace: AttemptTrace;

  private readonly stopper = new AbortController();

  /** Incarnation of the agent that received the attempt first; null if it can't be known. */
  private incarnation: string | null;

  private resends = 0;

  private fateValue: Fate = 'unclear';

  constructor(
    private readonly services: StageServices,
    private readonly start: AttemptStart,
  ) {
    this.firstChunk = new Promise((resolve) => {
      this.resolveFirstChunk = resolve;
    });
    this.startedAt = services.clock.now();
    this.incarnation = services.router.incarnationOf(start.server.agentId);
    this.trace = start.context.traceAttempt(start.content.stage, start.server.agentId);
    this.end = this.follow();
  }

  get id(): string {
    return this.start.content.attemptId;
  }

  get server(): RoutedServer {
    return this.start.server;
  }

  /** True once a chunk arrived. */
  get streaming(): boolean {
    return this.firstChunkAt !== null;
  }

  get fate(): Fate {
    return this.fateValue;
  }

  /** Stops following. The agent may still hold the attempt. */
  stop(): void {
    // A given reason saves making an exception.
    this.stopper.abort('stopped');
  }

  /**
   * Makes sure that the attempt does not run if it has not run yet, and learns its fate.
   * @returns the fate; `unclear` if the agent can't be reached or was restarted
   */
  async voidIfWaiting(): Promise<Fate> {
    this.stop();
    if (this.fateValue !== 'unclear') return this.fateValue;
    const status = await this.services.agents.voidAttempt(
      this.server.address,
      this.id,
      VOID_TIMEOUT_MS,
    );
    // An earlier incarnation may have run the attempt; the answer of a later one says nothing.
    if (status && status.incarnation === this.incarnation) {
      if (status.state === 'voided') this.fateValue = 'not-run';
      if (status.state === 'finished') this.fateValue = 'finished';
      if (status.state === 'failed') this.fateValue = 'ran';
    }
    return this.fateValue;
  }

  /** Tells the agent that the result is not wanted any more. */
  cancel(): void {
    this.stop();
    this.services.agents
      .cancel(this.server.address, this.id, VOID_TIMEOUT_MS)
      .then(() =>
        this.services.agents.acknowledge(this.server.address, { attemptId: this.id, won: false }),
      )
      .catch(() => undefined);
  }

  private async follow(): Promise<AttemptEnd> {
    const { router, agents } = this.services;
    const { content, server, context } = this.start;
    router.begin(server.agentId);
    const order = {
      content: { ...content, traceparent: this.trace.traceparent },
      address: server.address,
      deadlineAt: context.deadlineAt,
    };
    const stop = () => this.stop();
    if (context.signal.aborted) stop();
    context.signal.addEventListener('abort', stop);
    const end = await agents.run(order, this.createListener(), this.stopper.signal);
    context.signal.removeEventListener('abort', stop);
    router.end(server.agentId);
    this.settle(end);
    this.trace.end('frame' in end && end.kind === 'refused' ? end.frame.reason : end.kind);
    return end;
  }

  private createListener(): AttemptListener {
    const { content, server, context } = this.start;
    return {
      onLoad: (load, incarnation) => {
        if (this.resends === 0) this.incarnation ??= incarnation;
        this.services.router.reportLoad(server.agentId, load, incarnation);
      },
      onChunk: (offset, text) => {
        if (this.firstChunkAt === null) {
          this.firstChunkAt = this.services.clock.now();
          this.trace.firstChunk();
          this.resolveFirstChunk();
        }
        this.start.onChunk(offset, text);
      },
      onRestart: () => context.decide(content.stage, 'restart', 'the agent was restarted'),
      onResend: (reason) => {
        this.resends += 1;
        context.decide(content.stage, 'resend', reason);
      },
    };
  }

  private settle(end: AttemptEnd): void {
    if (end.kind === 'not-sent') this.fateValue = 'not-run';
    if (end.kind === 'refused' && this.isFirstIncarnation(end.frame.incarnation)) {
      this.fateValue = 'not-run';
    }
    if (end.kind === 'not-sent' || end.kind === 'lost') this.reportFailure('unreachable');
    if (end.kind === 'refused' && end.frame.reason === 'backend-unavailable') {
      this.reportFailure('failed');
    }
    if (end.kind === 'failed') {
      this.fateValue = end.frame.outcome === 'ran' ? 'ran' : 'unclear';
      this.reportFailure('failed');
      this.record(end.frame.usage, end.frame.incarnation, 'overhead');
    }
    if (end.kind === 'result') {
      this.fateValue = 'finished';
      this.reportResult(end.frame);
      // A result of an attempt that another request started counts as replayed: it is recorded there.
      if (!end.frame.replayed) this.record(end.frame.usage, end.frame.incarnation, 'useful');
    }
  }

  private reportResult(frame: ResultFrame): void {
    if (frame.replayed) return;
    const elapsedMs = this.services.clock.now() - this.startedAt;
    const firstMs = this.firstChunkAt === null ? elapsedMs : this.firstChunkAt - this.startedAt;
    const serviceMs = Math.max(0, elapsedMs - frame.queueMs);
    const { router } = this.services;
    if (router.reportResult(this.server, this.start.content, { serviceMs, firstMs })) {
      this.noteEjection('it is slower than others of its pool');
    }
  }

  private reportFailure(signal: FailureSignal): void {
    if (this.services.router.reportFailure(this.server, signal)) this.noteEjection(signal);
  }

  private noteEjection(reason: string): void {
    const { content, context, server } = this.start;
    context.decide(content.stage, 'eject', `${server.agentId}: ${reason}`);
  }

  /** A refusal by a later incarnation does not tell what an earlier one did with the attempt. */
  private isFirstIncarnation(incarnation: string): boolean {
    return this.resends === 0 || this.incarnation === incarnation;
  }

  private record(usage: Usage, agentIncarnation: string, usageClass: UsageClass): void {
    const { content, server } = this.start;
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
