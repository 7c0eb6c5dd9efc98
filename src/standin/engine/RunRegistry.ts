import { LRUCache } from 'lru-cache';
import type { Batch } from './Batch.js';
import type { EngineRun } from './EngineRun.js';

/** Maximum number of ended completions retained. */
const MAX_ENDED_RUNS = 1024;

/** Options of {@link RunRegistry}. */
export interface RunRegistryOptions {
  readonly resumeGraceMs: number;
  readonly retainMs: number;
}

interface Attachment {
  connections: number;
  graceTimer: NodeJS.Timeout | undefined;
}

/** Tracks completions by request id, and the connections that read them. */
export class RunRegistry {
  private readonly activeRuns = new Map<string, EngineRun>();

  /** Completions that finished or were cancelled recently. */
  private readonly endedRuns: LRUCache<string, EngineRun>;

  private readonly attachments = new Map<EngineRun, Attachment>();

  private cancelledCount = 0;

  constructor(
    private readonly options: RunRegistryOptions,
    private readonly batch: Batch,
  ) {
    this.endedRuns = new LRUCache({ max: MAX_ENDED_RUNS, ttl: options.retainMs });
  }

  /** Number of completions cancelled by a call or because no connection read them. */
  get cancelled(): number {
    return this.cancelledCount;
  }

  /**
   * Finds a completion that can be read.
   * @param requestId - id chosen by the client
   * @returns waiting, running or recently finished completion of this id
   */
  findReadable(requestId: string): EngineRun | undefined {
    const run = this.find(requestId);
    return run?.state === 'cancelled' ? undefined : run;
  }

  /**
   * Finds a completion, including cancelled ones.
   * @param requestId - id chosen by the client
   * @returns newest completion of this id
   */
  find(requestId: string): EngineRun | undefined {
    return this.activeRuns.get(requestId) ?? this.endedRuns.get(requestId);
  }

  /**
   * Registers and queues a completion. No connection is attached yet.
   * @param run - new completion
   */
  add(run: EngineRun): void {
    const id = run.request.request_id;
    this.activeRuns.set(id, run);
    this.attachments.set(run, { connections: 0, graceTimer: undefined });
    run.progress.event(() => {
      if (!run.hasEnded) return;
      clearTimeout(this.attachments.get(run)?.graceTimer);
      this.attachments.delete(run);
      if (this.activeRuns.get(id) === run) this.activeRuns.delete(id);
      this.endedRuns.set(id, run);
    });
    this.batch.add(run);
  }

  /**
   * Records that a connection reads a completion.
   * @param run - completion
   */
  attach(run: EngineRun): void {
    const attachment = this.attachments.get(run);
    if (!attachment) return;
    attachment.connections += 1;
    clearTimeout(attachment.graceTimer);
  }

  /**
   * Records that a connection no longer reads a completion. Without any connection the completion
   * is cancelled after the grace time.
   * @param run - completion passed to {@link attach}
   */
  detach(run: EngineRun): void {
    const attachment = this.attachments.get(run);
    if (!attachment) return;
    attachment.connections -= 1;
    if (attachment.connections > 0) return;
    attachment.graceTimer = setTimeout(() => {
      this.cancel(run);
    }, this.options.resumeGraceMs);
  }

  /**
   * Cancels a completion. Has no effect if the completion has ended.
   * @param run - completion to cancel
   */
  cancel(run: EngineRun): void {
    if (run.hasEnded) return;
    this.cancelledCount += 1;
    this.batch.cancel(run);
  }

  dispose(): void {
    this.attachments.forEach(({ graceTimer }) => clearTimeout(graceTimer));
  }
}
