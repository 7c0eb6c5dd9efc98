import type { Clock } from '../../common/time/Types.js';
import { rankByHash } from '../../common/serving/Rendezvous.js';
import type { Heartbeat } from './PeerMessages.js';

/** A process that was silent for this long is taken as dead, in ms: four lost heartbeats. */
const SILENCE_MS = 1100;

/** A process whose call failed gets no new work until its next heartbeat but one, in ms. */
const AVOIDANCE_MS = 500;

/** Processes with less than this share of the largest weight batch only if no other is left. */
const AMPLE_SHARE = 0.5;

interface Peer {
  heartbeat: Heartbeat;
  heardAt: number;
  avoidedUntil: number;
}

/** Load of an engine: running requests and prompt tokens that were not read yet. */
export interface EngineLoad {
  readonly running: number;
  readonly tokens: number;
}

/** What heartbeats tell of the other serving processes. */
export class PeerView {
  private readonly peers = new Map<string, Peer>();

  private engineLoads = new Map<string, EngineLoad>();

  constructor(
    private readonly clock: Clock,
    private readonly own: () => Heartbeat,
  ) {}

  /** Takes a heartbeat; one of an earlier incarnation is ignored. */
  hear(heartbeat: Heartbeat): void {
    const known = this.peers.get(heartbeat.id);
    const isKnownLive = known !== undefined && this.clock.now() - known.heardAt < SILENCE_MS;
    // After a silence any incarnation counts: the time of day may have been set back.
    if (isKnownLive && known.heartbeat.incarnation > heartbeat.incarnation) return;
    this.peers.set(heartbeat.id, {
      heartbeat,
      heardAt: this.clock.now(),
      avoidedUntil: known?.avoidedUntil ?? -Infinity,
    });
    this.sumEngineLoads();
  }

  /** Notes that a call to the process failed. */
  avoid(id: string): void {
    const peer = this.peers.get(id);
    if (peer) peer.avoidedUntil = this.clock.now() + AVOIDANCE_MS;
  }

  /** @returns processes that live, with this one */
  get processes(): number {
    return this.live().length + 1;
  }

  live(): Heartbeat[] {
    const now = this.clock.now();
    return [...this.peers.values()]
      .filter(({ heardAt }) => now - heardAt < SILENCE_MS)
      .map(({ heartbeat }) => heartbeat);
  }

  isLive(id: string): boolean {
    return this.live().some((heartbeat) => heartbeat.id === id);
  }

  /**
   * Chooses the process that batches a stage service. Two processes may do so for a moment, when
   * their views differ: that makes calls less full and does no harm otherwise.
   */
  batcherOf(service: string): Heartbeat {
    const now = this.clock.now();
    const candidates = this.live().filter(
      ({ id, isLeaving }) => !isLeaving && (this.peers.get(id)?.avoidedUntil ?? 0) <= now,
    );
    const own = this.own();
    if (!own.isLeaving) candidates.push(own);
    const largest = Math.max(...candidates.map(({ weight }) => weight));
    // By weight alone a small instance would still be first for some services, and too slow.
    const ample = candidates.filter(({ weight }) => weight >= largest * AMPLE_SHARE);
    return rankByHash(ample, service)[0] ?? own;
  }

  /** @returns time in which everything that waits for the service could be started, in ms */
  backlogOf(service: string): number {
    return this.batcherOf(service).backlogs[service] ?? 0;
  }

  /** @returns load that the other processes put on an engine */
  engineLoad(serverId: string): EngineLoad {
    return this.engineLoads.get(serverId) ?? { running: 0, tokens: 0 };
  }

  private sumEngineLoads(): void {
    const sums = new Map<string, EngineLoad>();
    this.live().forEach(({ engines }) => {
      Object.entries(engines).forEach(([id, [running, tokens]]) => {
        const sum = sums.get(id) ?? { running: 0, tokens: 0 };
        sums.set(id, { running: sum.running + running, tokens: sum.tokens + tokens });
      });
    });
    this.engineLoads = sums;
  }
}
