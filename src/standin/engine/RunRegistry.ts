import { LRUCache } from 'lru-cache';
import type { Batch } from './Batch.js';
import type { EngineRun } from './EngineRun.js';

/** Finished completions kept for resuming at most. */
const MAX_FINISHED = 1024;

/** Options of {@link RunRegistry}. */
export interface RegistryOptions {
  readonly resumeGraceMs: number;
  readonly retainMs: number;
}

interface Attachment {
  connections: number;
  graceTimer: NodeJS.Timeout | undefined;
}

/** Completions by request id, and the connections that read them. */
export class RunRegistry {
  private readonly live = new Map<string, EngineRun>();

  /** Completions that are over. */
  private readonly finished: LRUCache<string, EngineRun>;

  private readonly attachments = new Map<EngineRun, Attachment>();

  private cancelledRuns = 0;

  constructor(
    private readonly options: RegistryOptions,
    private readonly batch: Batch,
  ) {
    this.finished = new LRUCache({ max: MAX_FINISHED, ttl: options.retainMs });
  }

  /** Number of completions cancelled by request or because no connection read them. */
  get cancelled(): number {
    return this.cancelledRuns;
  }

  /**
   * @param requestId - id given by the client
   * @returns a running or recently finished completion, which can be read
   */
  find(requestId: string): EngineRun | undefined {
    const run = this.findAny(requestId);
    return run?.state === 'cancelled' ? undefined : run;
  }

  /**
   * @param requestId - id given by the client
   * @returns the newest completion of this id, which may have been cancelled
   */
  findAny(requestId: string): EngineRun | undefined {
    return this.live.get(requestId) ?? this.finished.get(requestId);
  }

  /** @param run - new completion; starts without connection */
  add(run: EngineRun): void {
    const id = run.request.request_id;
    this.live.set(id, run);
    this.attachments.set(run, { connections: 0, graceTimer: undefined });
    run.progress.event(() => {
      if (!run.isOver) return;
      clearTimeout(this.attachments.get(run)?.graceTimer);
      this.attachments.delete(run);
      if (this.live.get(id) === run) this.live.delete(id);
      this.finished.set(id, run);
    });
    this.batch.add(run);
  }

  /** @param run - completion that one more connection reads */
  attach(run: EngineRun): void {
    const attachment = this.attachments.get(run);
    if (!attachment) return;
    attachment.connections += 1;
    clearTimeout(attachment.graceTimer);
  }

  /**
   * Ends the reading of one connection. A completion that nobody reads is cancelled after a grace time.
   * @param run - completion that was attached
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

  /** @param run - completion to end early; no effect on one that is over */
  cancel(run: EngineRun): void {
    if (run.isOver) return;
    this.cancelledRuns += 1;
    this.batch.cancel(run);
  }

  dispose(): void {
    this.attachments.forEach(({ graceTimer }) => clearTimeout(graceTimer));
  }
}
