import type { Load } from '../protocol/Attempt.js';
import type { Clock, RandomSource } from '../time/Types.js';
import { selectCandidates } from './CandidateSet.js';
import { OutlierEjection, type PoolStates } from './OutlierEjection.js';
import { ServerState } from './ServerState.js';
import { StageTimeEstimator } from './StageTimeEstimator.js';
import type {
  FailureSignal,
  Location,
  RouteChoice,
  RoutedServer,
  RoutedTimes,
  RoutedWork,
  RouteRequest,
} from './Types.js';

/**
 * Maximum ratio of the first candidate's cost to the mean cost at which the first candidate keeps
 * its key. Another candidate means a cache miss for a prompt prefix, but for a repeated request it
 * means that the request cannot join its earlier attempt. That costs more, so the ratio is higher.
 */
const MAX_COST_RATIO = { affinity: 1.25, sticky: 2 } as const;

/** Reason reported when the first candidate is chosen, by placement. */
const FIRST_CANDIDATE_REASONS = {
  spread: 'first candidate',
  affinity: 'first candidate of the prompt prefix',
  sticky: 'first candidate of the idempotency key',
} as const;

/** Routing policy; its features can be switched off one by one. */
export interface RouterPolicy {
  /** Maximum number of candidates per choice. */
  readonly candidates: number;
  /** Whether choices take load and slowness into account. */
  readonly loadAware: boolean;
  /** Whether equal prompt prefixes are routed to the same server. */
  readonly prefixAffinity: boolean;
  /** Whether slow, failing and unreachable servers are ejected. */
  readonly ejection: boolean;
}

/** Dependencies and settings of the router. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly location: Location;
  readonly policy: RouterPolicy;
  /** @returns live servers of a pool */
  readonly serversOf: (pool: string) => readonly RoutedServer[];
}

/**
 * Chooses backend servers for attempts. Load, slowness and failures are known only from responses
 * to earlier attempts; the router sends no messages itself.
 */
export class Router {
  readonly stageTimes: StageTimeEstimator;

  private readonly states = new Map<string, ServerState>();

  private readonly ejection: OutlierEjection;

  constructor(private readonly options: RouterOptions) {
    this.stageTimes = new StageTimeEstimator(options.clock);
    this.ejection = new OutlierEjection(options.clock);
  }

  /**
   * Chooses a server for an attempt. If all servers that remain are ejected or draining, one of
   * them is chosen.
   * @param request - pool, placement key and servers to exclude
   * @returns a server and the reason, or null if all servers of the pool are excluded
   */
  choose(request: RouteRequest): RouteChoice | null {
    const untried = this.options
      .serversOf(request.pool)
      .filter((server) => !request.exclude.has(server.agentId));
    const usable = untried.filter((server) => this.isUsable(server.agentId));
    const { location, policy } = this.options;
    const candidates = selectCandidates(
      usable.length > 0 ? usable : untried,
      request.key,
      location,
      policy.candidates,
    );
    const [first] = candidates;
    if (!first) return null;
    const choice =
      candidates.length === 1
        ? { server: first, reason: 'only candidate' }
        : this.chooseAmong(candidates, request.placement);
    return usable.length > 0 ? choice : { ...choice, reason: 'no healthy server is left' };
  }

  /** Records that an attempt was sent to an agent. */
  recordAttemptStart(agentId: string): void {
    this.stateOf(agentId).outstanding += 1;
  }

  /** Records that an attempt sent to an agent has ended. */
  recordAttemptEnd(agentId: string): void {
    const state = this.stateOf(agentId);
    state.outstanding = Math.max(0, state.outstanding - 1);
  }

  /** Records the load that an agent reported, and the incarnation that reported it. */
  reportLoad(agentId: string, load: Load, incarnation: string): void {
    const state = this.stateOf(agentId);
    state.recordLoad(load, this.options.clock.now());
    state.incarnation = incarnation;
  }

  /**
   * Records the times of a result.
   * @returns true if the server was ejected because of its latency
   */
  reportResult(server: RoutedServer, work: RoutedWork, times: RoutedTimes): boolean {
    const expected = this.stageTimes.expectedTimes(work);
    const ratio = expected && times.serviceMs / Math.max(1, expected.medianServiceMs);
    this.stateOf(server.agentId).recordResult(ratio, this.options.clock.now());
    this.stageTimes.record(work, times);
    if (!this.options.policy.ejection) return false;
    return this.ejection.ejectIfSlow(server.agentId, this.poolStates(server.pool));
  }

  /**
   * Records a failed attempt.
   * @returns true if the server was ejected because of it
   */
  reportFailure(server: RoutedServer, signal: FailureSignal): boolean {
    this.stateOf(server.agentId).consecutiveFailures += 1;
    if (!this.options.policy.ejection) return false;
    const states = this.poolStates(server.pool);
    return this.ejection.ejectIfFailing(server.agentId, signal, states);
  }

  /** @returns ids of agents that are avoided because they were unreachable */
  unreachableAgents(): string[] {
    return this.ejection.unreachableAgents();
  }

  /** Ends the avoidance of an agent that has been reached again. */
  readmit(agentId: string): void {
    this.ejection.readmit(agentId);
  }

  /** @returns last known incarnation of an agent, or null */
  incarnationOf(agentId: string): string | null {
    return this.states.get(agentId)?.incarnation ?? null;
  }

  /** @returns true if a further attempt would probably not have to wait */
  hasFreeSlot(agentId: string): boolean {
    const state = this.stateOf(agentId);
    return state.occupancy(this.options.clock.now()) + 1 / state.slots <= 1;
  }

  /** @returns shortest expected queueing time in a pool, in milliseconds; 0 without load reports */
  expectedWaitMs(pool: string): number {
    const now = this.options.clock.now();
    const waits = this.options
      .serversOf(pool)
      .filter(({ agentId }) => this.isUsable(agentId))
      .map(({ agentId }) => this.states.get(agentId)?.waitMs(now) ?? 0);
    return waits.length > 0 ? Math.min(...waits) : 0;
  }

  /** @returns state of a server for status reports */
  statusOf(agentId: string): 'live' | 'ejected' | 'draining' {
    if (this.states.get(agentId)?.isDraining(this.options.clock.now())) return 'draining';
    return this.ejection.isEjected(agentId) ? 'ejected' : 'live';
  }

  /**
   * Deletes the state of servers that are no longer listed and have no outstanding attempts of this
   * entry.
   * @param agentIds - agents in the membership list
   */
  removeUnlisted(agentIds: ReadonlySet<string>): void {
    this.stageTimes.prune();
    for (const [agentId, state] of this.states) {
      if (agentIds.has(agentId) || state.outstanding > 0) continue;
      this.states.delete(agentId);
      this.ejection.remove(agentId);
    }
  }

  private isUsable(agentId: string): boolean {
    if (this.states.get(agentId)?.isDraining(this.options.clock.now())) return false;
    return !this.ejection.isEjected(agentId);
  }

  private chooseAmong(
    candidates: readonly RoutedServer[],
    placement: RouteRequest['placement'],
  ): RouteChoice {
    const { loadAware, prefixAffinity } = this.options.policy;
    const first = { server: candidates[0]!, reason: FIRST_CANDIDATE_REASONS[placement] };
    if (placement === 'sticky' && !loadAware) return first;
    if (!loadAware) return { server: this.chooseRandom(candidates), reason: 'random candidate' };
    const prefersFirst = placement === 'sticky' || (placement === 'affinity' && prefixAffinity);
    if (prefersFirst && this.isWithinBound(candidates, MAX_COST_RATIO[placement])) return first;
    return { server: this.chooseOfTwo(candidates), reason: 'less busy of two candidates' };
  }

  private chooseRandom(candidates: readonly RoutedServer[]): RoutedServer {
    return candidates[Math.floor(this.options.random.next() * candidates.length)]!;
  }

  private chooseOfTwo(candidates: readonly RoutedServer[]): RoutedServer {
    const first = Math.floor(this.options.random.next() * candidates.length);
    const offset = 1 + Math.floor(this.options.random.next() * (candidates.length - 1));
    const left = candidates[first]!;
    const right = candidates[(first + offset) % candidates.length]!;
    return this.costOf(left.agentId) <= this.costOf(right.agentId) ? left : right;
  }

  /**
   * Expected time of a further attempt on a server, relative to an idle server of typical speed.
   * Increased for a readmitted server, so that its load grows slowly.
   */
  private costOf(agentId: string): number {
    const cost = this.stateOf(agentId).cost(this.options.clock.now());
    return cost / this.ejection.shareOf(agentId);
  }

  private isWithinBound(candidates: readonly RoutedServer[], bound: number): boolean {
    const costs = candidates.map(({ agentId }) => this.costOf(agentId));
    const mean = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    // Allows one attempt more, because even a single attempt on idle servers would exceed the
    // bound.
    const slack = 1 / this.stateOf(candidates[0]!.agentId).slots;
    return costs[0]! <= bound * mean + slack;
  }

  private poolStates(pool: string): PoolStates {
    return new Map(
      this.options.serversOf(pool).map(({ agentId }) => [agentId, this.stateOf(agentId)]),
    );
  }

  private stateOf(agentId: string): ServerState {
    const known = this.states.get(agentId);
    if (known) return known;
    const state = new ServerState();
    this.states.set(agentId, state);
    return state;
  }
}
