import type { Clock } from '../../common/time/Types.js';
import type { FleetPosition } from '../../common/serving/PollSchedule.js';
import { rankByHash } from '../../common/serving/RendezvousHashing.js';
import type { StageLoad } from '../../common/serving/StageLoad.js';
import type { Heartbeat } from './PeerMessages.js';

/** Time without a heartbeat after which a process counts as dead, in ms: four lost heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 1100;

/** Time without new work for a process after a failed call, in ms: two heartbeat intervals. */
const FAILED_CALL_AVOIDANCE_MS = 500;

/** Processes below this share of the largest weight batch only if no larger process is alive. */
const MIN_WEIGHT_SHARE = 0.5;

/**
 * Longest time for which the choice of batching processes is reused, in ms. Choosing hashes every
 * live process, and each request asks several times.
 */
const CHOICE_LIFETIME_MS = 50;

/**
 * Number of processes that share a low limit of a server. Each may have saved up one request, so
 * more processes could together exceed the limit for a moment.
 */
const MIN_LIMIT_SHARERS = 4;

/** Time after which a silent process is forgotten, in ms. */
const FORGET_AFTER_MS = 60_000;

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

/** Position of this process among all that take new requests, by hash of a server's id. */
interface OwnRank {
  /** Undefined if this process takes none. */
  readonly rank: number | undefined;
  readonly processes: number;
}

/** Live processes, and the batching process of each service that was asked for, as of one time. */
interface Choices {
  readonly madeAt: number;
  readonly liveCount: number;
  /** Heartbeat of this process; undefined until it is asked for. */
  ownHeartbeat: Heartbeat | undefined;
  /** Processes that may batch; undefined until one is asked for. */
  candidates: readonly Heartbeat[] | undefined;
  readonly processByService: Map<string, string>;
  /** By id of a server whose limit was divided. */
  readonly ownRanks: Map<string, OwnRank>;
}

/** Tracks the other serving processes by their heartbeats. */
export class PeerView {
  private readonly peers = new Map<string, Peer>();

  private readonly engineLoads = new Map<string, EngineLoad>();

  /** Ids of the processes whose load is part of {@link engineLoads}. */
  private readonly countedPeers = new Set<string>();

  private choices: Choices | undefined;

  /**
   * @param clock - time source
   * @param ownHeartbeat - creates the heartbeat of this process
   * @param stageServices - returns the stage services of the configuration, in the same order in all
   *   processes
   */
  constructor(
    private readonly clock: Clock,
    private readonly ownHeartbeat: () => Heartbeat,
    private readonly stageServices: () => readonly string[] = () => [],
  ) {}

  /** Records a heartbeat; one of an earlier incarnation is ignored while the later one is alive. */
  recordHeartbeat(heartbeat: Heartbeat): void {
    const known = this.peers.get(heartbeat.id);
    const isKnownLive = known !== undefined && this.isPeerLive(known, this.clock.now());
    // After a time-out any incarnation is accepted: the system clock may have been set back.
    if (isKnownLive && known.heartbeat.incarnation > heartbeat.incarnation) return;
    if (!isKnownLive || isOtherCandidate(known.heartbeat, heartbeat)) this.choices = undefined;
    if (known) this.subtractEngineLoads(known);
    const peer = {
      heartbeat,
      lastHeartbeatAt: this.clock.now(),
      avoidedUntil: known?.avoidedUntil ?? -Infinity,
    };
    this.peers.set(heartbeat.id, peer);
    this.countedPeers.add(heartbeat.id);
    this.addEngineLoads(heartbeat, 1);
  }

  /** Records that a call to the process failed, so that it receives no new work for a while. */
  recordFailedCall(id: string): void {
    const peer = this.peers.get(id);
    if (peer) peer.avoidedUntil = this.clock.now() + FAILED_CALL_AVOIDANCE_MS;
    this.choices = undefined;
  }

  /** Number of live processes, including this one. */
  get processCount(): number {
    return this.currentChoices().liveCount + 1;
  }

  /** Position of this process among the live ones, by id. */
  get fleetPosition(): FleetPosition {
    const ownId = this.ownHeartbeat().id;
    const ids = this.liveHeartbeats().map(({ id }) => id);
    return { rank: ids.filter((id) => id < ownId).length, count: ids.length + 1 };
  }

  /** @returns latest heartbeats of the other processes that are alive */
  liveHeartbeats(): Heartbeat[] {
    const now = this.clock.now();
    return [...this.peers.values()]
      .filter((peer) => this.isPeerLive(peer, now))
      .map(({ heartbeat }) => heartbeat);
  }

  isLive(id: string): boolean {
    const peer = this.peers.get(id);
    return peer !== undefined && this.isPeerLive(peer, this.clock.now());
  }

  /**
   * Chooses the process that batches a stage service. While the views of processes differ, two may
   * batch the same service: their calls are less full, with no other effect.
   * @returns heartbeat of the chosen process, which may be this one
   */
  batchingProcess(service: string): Heartbeat {
    return this.peers.get(this.batchingProcessId(service))?.heartbeat ?? this.currentOwn();
  }

  /**
   * Like {@link batchingProcess}, without the heartbeat, which lists all servers if it is the own one.
   * @returns id of the chosen process
   */
  batchingProcessId(service: string): string {
    const choices = this.currentChoices();
    const chosenId = choices.processByService.get(service);
    if (chosenId !== undefined) return chosenId;
    const ownHeartbeat = this.currentOwn();
    choices.candidates ??= this.batchingCandidates(ownHeartbeat);
    const { candidates, processByService } = choices;
    const assigned = assignEvenly(this.stageServices(), candidates);
    assigned.forEach((id, name) => processByService.set(name, id));
    // A peer of a newer configuration may send stages of a service that is not known here yet.
    const id = assigned.get(service) ?? rankByHash(candidates, service)[0]?.id ?? ownHeartbeat.id;
    processByService.set(service, id);
    return id;
  }

  /** Stage services of the configuration that this process batches. */
  get batchedServices(): readonly string[] {
    const { id } = this.currentOwn();
    return this.stageServices().filter((service) => this.batchingProcessId(service) === id);
  }

  /**
   * Divides the limit of a server among the first processes by hash of its id.
   * @param serverId - id of the server
   * @param requestsPerS - limit for all processes together
   * @returns share of this process, 0 to 1
   */
  limitShare(serverId: string, requestsPerS: number): number {
    const { ownRanks } = this.currentChoices();
    const ownRank = ownRanks.get(serverId) ?? this.ownRankFor(serverId);
    ownRanks.set(serverId, ownRank);
    const { rank, processes } = ownRank;
    const sharers = Math.min(processes, Math.max(MIN_LIMIT_SHARERS, Math.floor(requestsPerS)));
    return rank !== undefined && rank < sharers ? 1 / sharers : 0;
  }

  /** @returns load of the stage service; undefined if its batching process has told none */
  stageLoad(service: string): StageLoad | undefined {
    const { stageLoads } = this.batchingProcess(service);
    return Object.hasOwn(stageLoads, service) ? stageLoads[service] : undefined;
  }

  /** @returns load of the engine from the other processes */
  engineLoad(serverId: string): EngineLoad {
    return this.engineLoads.get(serverId) ?? { running: 0, tokens: 0 };
  }

  private isPeerLive({ lastHeartbeatAt }: Peer, now: number): boolean {
    return now - lastHeartbeatAt < HEARTBEAT_TIMEOUT_MS;
  }

  /** Heartbeat of this process, as of the current choices: it lists all servers, and loads. */
  private currentOwn(): Heartbeat {
    const choices = this.currentChoices();
    choices.ownHeartbeat ??= this.ownHeartbeat();
    return choices.ownHeartbeat;
  }

  private currentChoices(): Choices {
    const now = this.clock.now();
    if (this.choices && now - this.choices.madeAt < CHOICE_LIFETIME_MS) return this.choices;
    this.removeSilentPeers(now);
    const liveCount = [...this.peers.values()].filter((peer) => this.isPeerLive(peer, now)).length;
    this.choices = {
      madeAt: now,
      liveCount,
      ownHeartbeat: undefined,
      candidates: undefined,
      processByService: new Map(),
      ownRanks: new Map(),
    };
    return this.choices;
  }

  private ownRankFor(key: string): OwnRank {
    const own = this.ownHeartbeat();
    const candidates = [own, ...this.liveHeartbeats()]
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ id }) => ({ id, weight: 1 }));
    const rank = rankByHash(candidates, key).findIndex(({ id }) => id === own.id);
    return { rank: rank < 0 ? undefined : rank, processes: candidates.length };
  }

  private batchingCandidates(ownHeartbeat: Heartbeat): Heartbeat[] {
    const now = this.clock.now();
    const candidates = this.liveHeartbeats().filter(
      ({ id, isLeaving }) => !isLeaving && (this.peers.get(id)?.avoidedUntil ?? 0) <= now,
    );
    if (!ownHeartbeat.isLeaving) candidates.push(ownHeartbeat);
    const largest = Math.max(...candidates.map(({ weight }) => weight));
    // With hashing by weight alone, a small and too slow instance would still rank first for some
    // services.
    return candidates.filter(({ weight }) => weight >= largest * MIN_WEIGHT_SHARE);
  }

  private removeSilentPeers(now: number): void {
    this.peers.forEach((peer, id) => {
      if (this.isPeerLive(peer, now)) return;
      this.subtractEngineLoads(peer);
      if (now - peer.lastHeartbeatAt >= FORGET_AFTER_MS) this.peers.delete(id);
    });
  }

  private subtractEngineLoads({ heartbeat }: Peer): void {
    if (this.countedPeers.delete(heartbeat.id)) this.addEngineLoads(heartbeat, -1);
  }

  /** Adds the engine loads of a heartbeat to the sums, or subtracts them if the sign is -1. */
  private addEngineLoads({ engines }: Heartbeat, sign: 1 | -1): void {
    Object.entries(engines).forEach(([id, [running, tokens]]) => {
      const sum = this.engineLoads.get(id) ?? { running: 0, tokens: 0 };
      const updated = {
        running: sum.running + sign * running,
        tokens: sum.tokens + sign * tokens,
      };
      if (updated.running === 0 && updated.tokens === 0) this.engineLoads.delete(id);
      else this.engineLoads.set(id, updated);
    });
  }
}

/**
 * Assigns each service to the first process by hash among those with the fewest services. Each stage of
 * a request passes the process that batches its service, so one that batched most of the services
 * would delay the requests of all.
 * @param services - services, in the same order in all processes
 * @param candidates - processes that may batch
 * @returns id of the process of each service; empty without candidates
 */
function assignEvenly(
  services: readonly string[],
  candidates: readonly Heartbeat[],
): ReadonlyMap<string, string> {
  const assigned = new Map<string, string>();
  let free: readonly Heartbeat[] = [];
  services.forEach((service) => {
    if (free.length === 0) free = candidates;
    const [first] = rankByHash(free, service);
    if (!first) return;
    assigned.set(service, first.id);
    free = free.filter(({ id }) => id !== first.id);
  });
  return assigned;
}

/** Whether a process has to be considered anew as a batching process. */
function isOtherCandidate(known: Heartbeat, heartbeat: Heartbeat): boolean {
  return (
    known.incarnation !== heartbeat.incarnation ||
    known.isLeaving !== heartbeat.isLeaving ||
    known.weight !== heartbeat.weight
  );
}
