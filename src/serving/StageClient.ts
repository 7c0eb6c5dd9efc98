import type { Cancellation } from '../common/events/Cancellation.js';
import type { Clock } from '../common/time/Types.js';
import type { StageTask, TaskOutcome } from '../common/serving/Types.js';
import type { Logger } from '../telemetry/Logger.js';
import type { StageBatcher } from './StageBatcher.js';
import type { PeerClients } from './peers/PeerClients.js';
import type { Heartbeat, StageRequest } from './peers/PeerMessages.js';
import type { PeerView } from './peers/PeerView.js';

/** Interval at which a pending call checks whether its peer is alive, in ms. */
const LIVENESS_CHECK_MS = 200;

/** Maximum number of peers that a stage is sent to before this process batches it itself. */
const MAX_PEER_ATTEMPTS = 3;

/** Time for which released handles are collected, in ms, so that one message releases many. */
const RELEASE_DELAY_MS = 10;

/** Dependencies of {@link StageClient}. */
export interface StageClientServices {
  readonly ownId: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly batcher: StageBatcher;
  readonly peerClients: PeerClients;
  readonly peerView: PeerView;
}

/** Runs stages at the process that batches their service, and at another one if it is lost. */
export class StageClient {
  private readonly pendingReleases = new Map<string, string[]>();

  constructor(private readonly services: StageClientServices) {}

  /**
   * Runs all pieces of a stage.
   * @param service - stage service
   * @param task - pieces to run, with times on the clock of this process
   * @param cancellation - cancels the pieces
   * @returns handles of the results, or the reason for the failure
   */
  async run(service: string, task: StageTask, cancellation: Cancellation): Promise<TaskOutcome> {
    const { peerView, ownId, logger } = this.services;
    for (let attempt = 0; attempt < MAX_PEER_ATTEMPTS; attempt += 1) {
      const peer = peerView.batchingProcess(service);
      if (peer.id === ownId) break;
      const outcome = await this.runAtPeer(peer, service, task, cancellation);
      if (outcome) return outcome;
      if (cancellation.isCancelled) return { kind: 'failed' };
      logger.warn('batching process lost', { service, peer: peer.id, request: task.attemptId });
      peerView.recordFailedCall(peer.id);
    }
    return this.services.batcher.run(service, task, cancellation);
  }

  /** Releases results of a stage service that are no longer needed. */
  release(service: string, handles: readonly string[]): void {
    if (handles.length === 0) return;
    const pending = this.pendingReleases.get(service);
    if (pending) {
      pending.push(...handles);
      return;
    }
    this.pendingReleases.set(service, [...handles]);
    setTimeout(() => this.sendReleases(service), RELEASE_DELAY_MS);
  }

  /** @returns outcome of the stage; undefined if the peer was lost and the outcome is unknown */
  private async runAtPeer(
    peer: Heartbeat,
    service: string,
    task: StageTask,
    cancellation: Cancellation,
  ): Promise<TaskOutcome | undefined> {
    const { peerClients, peerView } = this.services;
    const check = setInterval(() => {
      if (!peerView.isLive(peer.id)) peerClients.closeChannel(peer);
    }, LIVENESS_CHECK_MS);
    try {
      return await peerClients
        .channelFor(peer)
        .run(this.toStageRequest(service, task), cancellation);
    } finally {
      clearInterval(check);
    }
  }

  private toStageRequest(service: string, task: StageTask): StageRequest {
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
      ...(task.fingerprint !== undefined && { fingerprint: task.fingerprint }),
      ...(task.preferredDomain !== undefined && { preferredDomain: task.preferredDomain }),
      priority: task.priority,
      dueInMs: task.dueAt - now,
      expiresInMs: task.expiresAt - now,
    };
  }

  private sendReleases(service: string): void {
    const handles = this.pendingReleases.get(service) ?? [];
    this.pendingReleases.delete(service);
    const { peerView, ownId, batcher, peerClients } = this.services;
    const peer = peerView.batchingProcess(service);
    if (peer.id === ownId) {
      batcher.releaseResults(handles);
      return;
    }
    peerClients.channelFor(peer).release(handles);
  }
}

/**
 * @param request - stage request of a peer, with times relative to its receipt
 * @param now - time of receipt, on the clock of this process
 * @returns the task, with times on the clock of this process
 */
export function toStageTask(request: StageRequest, now: number): StageTask {
  return {
    attemptId: request.attemptId,
    stage: request.stage,
    pieces: request.pieces,
    ...(request.key !== undefined && { key: request.key }),
    inputs: request.inputs,
    resultBytes: request.resultBytes,
    inputBytes: request.inputBytes,
    work: request.work,
    ...(request.fingerprint !== undefined && { fingerprint: request.fingerprint }),
    ...(request.preferredDomain !== undefined && { preferredDomain: request.preferredDomain }),
    priority: request.priority,
    dueAt: now + request.dueInMs,
    expiresAt: now + request.expiresInMs,
  };
}
