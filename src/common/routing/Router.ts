import type { Load } from '../protocol/Attempt.js';
import type { Clock, RandomSource } from '../time/Types.js';
import { selectCandidates } from './CandidateSet.js';
import { OutlierEjection, type PoolStates } from './OutlierEjection.js';
import { ServerState } from './ServerState.js';
import { StageTimes } from './StageTimes.js';
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
 * The first candidate keeps its key while its cost is at most this many times the mean. Leaving it
 * costs a prompt prefix a cache miss; it costs a repeated request the chance to join its attempt, which
 * is worth more.
 */
const BOUNDS = { affinity: 1.25, sticky: 2 } as const;

/** Why the first candidate is taken, by placement. */
const FIRST_REASONS = {
  spread: 'first candidate',
  affinity: 'first candidate of the prompt prefix',
  sticky: 'first candidate of the idempotency key',
} as const;

/** Parts of the policy that can be switched off. */
export interface RouterPolicy {
  /** Candidates per choice. */
  readonly candidates: number;
  readonly loadAware: boolean;
  readonly prefixAffinity: boolean;
  readonly ejection: boolean;
}

/** What the router needs of its surroundings. */
export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly location: Location;
  readonly policy: RouterPolicy;
  /** @returns live servers of a pool. */
  readonly serversOf: (pool: string) => readonly RoutedServer[];
}

/** Chooses backend servers from what their answers tell; there are no messages of its own. */
export class Router {
  readonly times: StageTimes;

  private readonly states = new Map<string, ServerState>();

  private readonly ejection: OutlierEjection;

  constructor(private readonly options: RouterOptions) {
    this.times = new StageTimes(options.clock);
    this.ejection = new OutlierEjection(options.clock);
  }

  /**
   * @param request - what the server is wanted for
   * @returns a server, or null if the pool has none left
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
        ? { server: first, reason: 'only server' }
        : this.chooseAmong(candidates, request.placement);
    return usable.length > 0 ? choice : { ...choice, reason: 'no healthy server is left' };
  }

  /** Notes that an attempt was sent to an agent. */
  begin(agentId: string): void {
    this.stateOf(agentId).outstanding += 1;
  }

  /** Notes that an attempt sent to an agent has ended. */
  end(agentId: string): void {
    const state = this.stateOf(agentId);
    state.outstanding = Math.max(0, state.outstanding - 1);
  }

  /** Takes the load that an agent reported, and the incarnation that reported it. */
  reportLoad(agentId: string, load: Load, incarnation: string): void {
    const state = this.stateOf(agentId);
    state.report(load, this.options.clock.now());
    state.incarnation = incarnation;
  }

  /**
   * Takes a result.
   * @returns true if the server was ejected because of its latency
   */
  reportResult(server: RoutedServer, work: RoutedWork, times: RoutedTimes): boolean {
    const expected = this.times.expect(work);
    const ratio = expected && times.serviceMs / Math.max(1, expected.medianServiceMs);
    this.stateOf(server.agentId).addResult(ratio, this.options.clock.now());
    this.times.add(work, times);
    if (!this.options.policy.ejection) return false;
    return this.ejection.considerLatency(server.agentId, this.poolStates(server.pool));
  }

  /**
   * Takes a failure.
   * @returns true if the server was ejected because of it
   */
  reportFailure(server: RoutedServer, signal: FailureSignal): boolean {
    this.stateOf(server.agentId).consecutiveFailures += 1;
    if (!this.options.policy.ejection) return false;
    const states = this.poolStates(server.pool);
    return this.ejection.considerFailure(server.agentId, signal, states);
  }

  /** @returns agents that are avoided because they could not be reached. */
  unreachableAgents(): string[] {
    return this.ejection.unreachable();
  }

  /** Uses an agent again that was found to be reachable. */
  readmit(agentId: string): void {
    this.ejection.readmit(agentId);
  }

  /** @returns last known incarnation of an agent, or null. */
  incarnationOf(agentId: string): string | null {
    return this.states.get(agentId)?.incarnation ?? null;
  }

  /** @returns true if a further attempt would probably not wait. */
  hasFreeSlot(agentId: string): boolean {
    const state = this.stateOf(agentId);
    return state.occupancy(this.options.clock.now()) + 1 / state.slots <= 1;
  }

  /** @returns shortest expected queueing time in a pool, in ms; 0 if nothing is known. */
  expectedWaitMs(pool: string): number {
    const now = this.options.clock.now();
    const waits = this.options
      .serversOf(pool)
      .filter(({ agentId }) => this.isUsable(agentId))
      .map(({ agentId }) => this.states.get(agentId)?.waitMs(now) ?? 0);
    return waits.length > 0 ? Math.min(...waits) : 0;
  }

  /** @returns state of a server for status reports. */
  describe(agentId: string): 'live' | 'ejected' | 'draining' {
    if (this.states.get(agentId)?.isDraining(this.options.clock.now())) return 'draining';
    return this.ejection.isEjected(agentId) ? 'ejected' : 'live';
  }

  /** Forgets servers that are not listed any more and have no attempts of this entry. */
  retain(agentIds: ReadonlySet<string>): void {
    this.times.prune();
    for (const [agentId, state] of this.states) {
      if (agentIds.has(agentId) || state.outstanding > 0) continue;
      this.states.delete(agentId);
      this.ejection.forget(agentId);
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
    const first = { server: candidates[0]!, reason: FIRST_REASONS[placement] };
    if (placement === 'sticky' && !loadAware) return first;
    if (!loadAware) return { server: this.chooseAny(candidates), reason: 'any candidate' };
    const wantsFirst = placement === 'sticky' || (placement === 'affinity' && prefixAffinity);
    if (wantsFirst && this.isWithinBound(candidates, BOUNDS[placement])) return first;
    return { server: this.chooseOfTwo(candidates), reason: 'less busy of two candidates' };
  }

  private chooseAny(candidates: readonly RoutedServer[]): RoutedServer {
    return candidates[Math.floor(this.options.random.next() * candidates.length)]!;
  }

  private chooseOfTwo(candidates: readonly RoutedServer[]): RoutedServer {
    const first = Math.floor(this.options.random.next() * candidates.length);
    const offset = 1 + Math.floor(this.options.random.next() * (candidates.length - 1));
    const left = candidates[first]!;
    const right = candidates[(first + offset) % candidates.length]!;
    return this.costOf(left.agentId) <= this.costOf(right.agentId) ? left : right;
  }

  /** Expected time in the server relative to an idle typical one; a slow start makes it look busier. */
  private costOf(agentId: string): number {
    const cost = this.stateOf(agentId).cost(this.options.clock.now());
    return cost / this.ejection.shareOf(agentId);
  }

  private isWithinBound(candidates: readonly RoutedServer[], bound: number): boolean {
    const costs = candidates.map(({ agentId }) => this.costOf(agentId));
    const mean = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;
    // One more attempt is always allowed, or a single one on idle servers would exceed the bound.
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
