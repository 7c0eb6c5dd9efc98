import type { Cancellation } from '../common/events/Cancellation.js';
import type { Clock } from '../common/time/Types.js';
import type { StageTask, TaskOutcome } from '../common/serving/StageQueue.js';
import type { Logger } from '../telemetry/Logger.js';
import type { StageBatcher } from './StageBatcher.js';
import type { PeerClients } from './peers/PeerClients.js';
import type { Heartbeat, StageOrder } from './peers/PeerMessages.js';
import type { PeerView } from './peers/PeerView.js';

/** Interval at which a pending call checks whether its peer is alive, in ms. */
const LIVENESS_CHECK_MS = 200;

/** Maximum number of peers that a stage is sent to before this process batches it itself. */
const MAX_PEERS = 3;

/** Time for which released handles are collected, in ms, so that one message releases many. */
const RELEASE_DELAY_MS = 10;

/** Dependencies of {@link StageClient}. */
export interface StageClientServices {
  readonly ownId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly batcher: StageBatcher;
  readonly clients: PeerClients;
  readonly view: PeerView;
}

/** Runs stages at the process that batches their service, and at another one if it is lost. */
export class StageClient {
  private readonly releases = new Map<string, string[]>();

  constructor(private readonly services: StageClientServices) {}

  /**
   * Runs all pieces of a stage.
   * @param service - stage service
   * @param task - pieces to run, with times on the clock of this process
   * @param cancellation - cancels the pieces
   * @returns handles of the results, or the reason for the failure
   */
  async run(service: string, task: StageTask, cancellation: Cancellation): Promise<TaskOutcome> {
    const { view, ownId, logger } = this.services;
    for (let tries = 0; tries < MAX_PEERS; tries += 1) {
      const peer = view.batcherOf(service);
      if (peer.id === ownId) break;
      const outcome = await this.runAt(peer, service, task, cancellation);
      if (outcome) return outcome;
      if (cancellation.isCancelled) return { kind: 'failed' };
      logger.warn('batching process lost', { service, peer: peer.id, request: task.attemptId });
      view.avoid(peer.id);
    }
    return this.services.batcher.run(service, task, cancellation);
  }

  /** Releases results of a stage service that are no longer needed. */
  release(service: string, handles: readonly string[]): void {
    if (handles.length === 0) return;
    const pending = this.releases.get(service);
    if (pending) {
      pending.push(...handles);
      return;
    }
    this.releases.set(service, [...handles]);
    setTimeout(() => this.sendReleases(service), RELEASE_DELAY_MS);
  }

  /** @returns outcome of the stage; undefined if the peer was lost and the outcome is unknown */
  private async runAt(
    peer: Heartbeat,
    service: string,
    task: StageTask,
    cancellation: Cancellation,
  ): Promise<TaskOutcome | undefined> {
    const { clients, view } = this.services;
    const check = setInterval(() => {
      if (!view.isLive(peer.id)) clients.dropChannel(peer);
    }, LIVENESS_CHECK_MS);
    try {
      return await clients.channelTo(peer).run(this.orderOf(service, task), cancellation);
    } finally {
      clearInterval(check);
    }
  }

  private orderOf(service: string, task: StageTask): StageOrder {
    const now = this.services.clock.now();
    return {
      service,
      attemptId: task.attemptId,
      stage: task.stage,
      pieces: task.pieces,
      ...(task.key !== undefined && { key: task.key }),
      inputs: [...task.inputs],
      resultBytes: task.resultBytes,
      inputBytes: task.inputBytes,
      work: task.work,
      ...(task.preferredDomain !== undefined && { preferredDomain: task.preferredDomain }),
      priority: task.priority,
      dueInMs: task.dueAt - now,
      expiresInMs: task.expiresAt - now,
    };
  }

  private sendReleases(service: string): void {
    const handles = this.releases.get(service) ?? [];
    this.releases.delete(service);
    const { view, ownId, batcher, clients } = this.services;
    const peer = view.batcherOf(service);
    if (peer.id === ownId) {
      batcher.releaseResults(handles);
      return;
    }
    clients.channelTo(peer).release(handles);
  }
}

/**
 * @param order - stage request of a peer, with times relative to its receipt
 * @param now - time of receipt, on the clock of this process
 * @returns the task, with times on the clock of this process
 */
export function taskOfOrder(order: StageOrder, now: number): StageTask {
  return {
    attemptId: order.attemptId,
    stage: order.stage,
    pieces: order.pieces,
    ...(order.key !== undefined && { key: order.key }),
    inputs: order.inputs,
    resultBytes: order.resultBytes,
    inputBytes: order.inputBytes,
    work: order.work,
    ...(order.preferredDomain !== undefined && { preferredDomain: order.preferredDomain }),
    priority: order.priority,
    dueAt: now + order.dueInMs,
    expiresAt: now + order.expiresInMs,
  };
}
