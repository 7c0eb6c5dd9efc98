import type { Clock } from '../../common/time/Types.js';
import { rankByHash } from '../../common/serving/RendezvousHashing.js';
import type { Heartbeat } from './PeerMessages.js';

/** Time without a heartbeat after which a process counts as dead, in ms: four lost heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 1100;

/** Time without new work for a process after a failed call, in ms: two heartbeat intervals. */
const FAILED_CALL_AVOIDANCE_MS = 500;

/** Processes below this share of the largest weight batch only if no larger process is alive. */
const MIN_WEIGHT_SHARE = 0.5;

interface Peer {
  heartbeat: Heartbeat;
  lastHeartbeatAt: number;
  avoidedUntil: number;
}

/** Load of an engine: running requests, and prompt tokens not yet prefilled. */
export interface EngineLoad {
  readonly running: number;
  readonly tokens: number;
}

/** Tracks the other serving processes by their heartbeats. */
export class PeerView {
  private readonly peers = new Map<string, Peer>();

  private engineLoads = new Map<string, EngineLoad>();

  /**
   * @param clock - time source
   * @param ownHeartbeat - creates the heartbeat of this process
   */
  constructor(
    private readonly clock: Clock,
    private readonly ownHeartbeat: () => Heartbeat,
  ) {}

  /** Records a heartbeat; one of an earlier incarnation is ignored while the later one is alive. */
  recordHeartbeat(heartbeat: Heartbeat): void {
    const known = this.peers.get(heartbeat.id);
    const isKnownLive =
      known !== undefined && this.clock.now() - known.lastHeartbeatAt < HEARTBEAT_TIMEOUT_MS;
    // After a time-out any incarnation is accepted: the system clock may have been set back.
    if (isKnownLive && known.heartbeat.incarnation > heartbeat.incarnation) return;
    this.peers.set(heartbeat.id, {
      heartbeat,
      lastHeartbeatAt: this.clock.now(),
      avoidedUntil: known?.avoidedUntil ?? -Infinity,
    });
    this.updateEngineLoads();
  }

  /** Records that a call to the process failed, so that it receives no new work for a while. */
  recordFailedCall(id: string): void {
    const peer = this.peers.get(id);
    if (peer) peer.avoidedUntil = this.clock.now() + FAILED_CALL_AVOIDANCE_MS;
  }

  /** Number of live processes, including this one. */
  get processCount(): number {
    return this.liveHeartbeats().length + 1;
  }

  /** @returns latest heartbeats of the other processes that are alive */
  liveHeartbeats(): Heartbeat[] {
    const now = this.clock.now();
    return [...this.peers.values()]
      .filter(({ lastHeartbeatAt }) => now - lastHeartbeatAt < HEARTBEAT_TIMEOUT_MS)
      .map(({ heartbeat }) => heartbeat);
  }

  isLive(id: string): boolean {
    return this.liveHeartbeats().some((heartbeat) => heartbeat.id === id);
  }

  /**
   * Chooses the process that batches a stage service. While the views of processes differ, two may
   * batch the same service: their calls are less full, with no other effect.
   * @returns heartbeat of the chosen process, which may be this one
   */
  batchingProcess(service: string): Heartbeat {
    const now = this.clock.now();
    const candidates = this.liveHeartbeats().filter(
      ({ id, isLeaving }) => !isLeaving && (this.peers.get(id)?.avoidedUntil ?? 0) <= now,
    );
    const ownHeartbeat = this.ownHeartbeat();
    if (!ownHeartbeat.isLeaving) candidates.push(ownHeartbeat);
    const largest = Math.max(...candidates.map(({ weight }) => weight));
    // With hashing by weight alone, a small and too slow instance would still rank first for some
    // services.
    const sufficient = candidates.filter(({ weight }) => weight >= largest * MIN_WEIGHT_SHARE);
    return rankByHash(sufficient, service)[0] ?? ownHeartbeat;
  }

  /** @returns time until all pieces waiting for the service could be started, in ms */
  backlogOf(service: string): number {
    return this.batchingProcess(service).backlogs[service] ?? 0;
  }

  /** @returns load of the engine from the other processes */
  engineLoad(serverId: string): EngineLoad {
    return this.engineLoads.get(serverId) ?? { running: 0, tokens: 0 };
  }

  private updateEngineLoads(): void {
    const sums = new Map<string, EngineLoad>();
    this.liveHeartbeats().forEach(({ engines }) => {
      Object.entries(engines).forEach(([id, [running, tokens]]) => {
        const sum = sums.get(id) ?? { running: 0, tokens: 0 };
        sums.set(id, { running: sum.running + running, tokens: sum.tokens + tokens });
      });
    });
    this.engineLoads = sums;
  }
}
