import type { Clock } from '../time/Types.js';
import type { ServerState } from './ServerState.js';
import type { FailureSignal } from './Types.js';

/** Ratio of a server's slowness to the median of its pool above which it is ejected. */
const MAX_SLOWNESS_RATIO = 3;

/** Minimum number of results of a server for its slowness to be considered. */
const MIN_RESULTS = 10;

/**
 * Minimum number of servers for a median. With fewer, the median does not show which one is slow.
 */
const MIN_SERVERS = 3;
const MAX_EJECTED_SHARE = 0.3;

/** Duration of a first ejection, doubled with each consecutive one. */
const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
const MAX_CONSECUTIVE_FAILURES = 3;

/** Time for which an unreachable agent is avoided, doubled with each consecutive avoidance. */
const FIRST_AVOIDANCE_MS = 1000;
const MAX_AVOIDANCE_MS = 8000;

/**
 * Minimum share of a pool that is not avoided. Without it, a network fault of the entry itself
 * would make the whole pool unavailable.
 */
const MIN_USABLE_SHARE = 0.5;

/** Time over which the share of a readmitted server grows to the full one. */
const SLOW_START_MS = 10_000;
const MIN_SLOW_START_SHARE = 0.1;

interface Ejection {
  /** End of the ejection, in monotonic milliseconds. */
  untilMs: number;
  /**
   * Consecutive ejections. Reset if none occurs within the maximum ejection time after the last.
   */
  count: number;
  reason: FailureSignal | 'slow';
}

/** States of the servers of one pool, by agent id. */
export type PoolStates = ReadonlyMap<string, ServerState>;

/**
 * Ejects slow, failing and unreachable servers for a limited time, doubled if they are ejected
 * again. Ejected servers return with a small share of work that grows, so that one that is still
 * slow or failing affects few requests.
 */
export class OutlierEjection {
  private readonly ejections = new Map<string, Ejection>();

  constructor(private readonly clock: Clock) {}

  /**
   * Ejects a server if its recent results are too slow. Called after each result.
   * @param agentId - agent of the server
   * @param pool - states of all servers of its pool
   * @returns true if the server was ejected
   */
  ejectIfSlow(agentId: string, pool: PoolStates): boolean {
    const state = pool.get(agentId);
    if (!state || state.results < MIN_RESULTS) return false;
    const eligible = [...pool.values()].filter(({ results }) => results >= MIN_RESULTS);
    if (eligible.length < MIN_SERVERS) return false;
    if (state.slowness <= MAX_SLOWNESS_RATIO * medianOf(eligible.map(({ slowness }) => slowness))) {
      return false;
    }
    return this.eject(agentId, pool, 'slow');
  }

  /**
   * Ejects a server if its agent is unreachable or it failed too often in succession. Called after
   * each failure.
   * @param agentId - agent of the server
   * @param signal - how the attempt failed
   * @param pool - states of all servers of its pool
   * @returns true if the server was ejected
   */
  ejectIfFailing(agentId: string, signal: FailureSignal, pool: PoolStates): boolean {
    const state = pool.get(agentId);
    if (!state) return false;
    if (signal === 'failed' && state.consecutiveFailures < MAX_CONSECUTIVE_FAILURES) return false;
    return this.eject(agentId, pool, signal);
  }

  /** Whether a server is ejected or avoided now. */
  isEjected(agentId: string): boolean {
    const ejection = this.ejections.get(agentId);
    return ejection !== undefined && this.clock.now() < ejection.untilMs;
  }

  /** Ends the avoidance of an agent that has been reached again. */
  readmit(agentId: string): void {
    const ejection = this.ejections.get(agentId);
    if (ejection?.reason === 'unreachable') ejection.untilMs = this.clock.now();
  }

  /** @returns ids of agents that are avoided because they were unreachable */
  unreachableAgents(): string[] {
    return [...this.ejections.entries()]
      .filter(([agentId, { reason }]) => reason === 'unreachable' && this.isEjected(agentId))
      .map(([agentId]) => agentId);
  }

  /** @returns share of its normal load that a server receives, above 0 and up to 1 */
  shareOf(agentId: string): number {
    const ejection = this.ejections.get(agentId);
    if (!ejection || ejection.reason === 'unreachable') return 1;
    const returnedForMs = this.clock.now() - ejection.untilMs;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, returnedForMs / SLOW_START_MS));
  }

  /** Deletes the ejection history of a server. */
  remove(agentId: string): void {
    this.ejections.delete(agentId);
  }

  private eject(agentId: string, pool: PoolStates, reason: Ejection['reason']): boolean {
    if (this.isEjected(agentId) || !this.mayEject(pool, reason)) return false;
    const now = this.clock.now();
    const [first, max] =
      reason === 'unreachable'
        ? [FIRST_AVOIDANCE_MS, MAX_AVOIDANCE_MS]
        : [FIRST_EJECTION_MS, MAX_EJECTION_MS];
    const last = this.ejections.get(agentId);
    const isRepeated = last !== undefined && now - last.untilMs < max;
    const count = isRepeated ? last.count + 1 : 1;
    const untilMs = now + Math.min(max, first * 2 ** (count - 1));
    this.ejections.set(agentId, { untilMs, count, reason });
    pool.get(agentId)?.resetResults();
    return true;
  }

  private mayEject(pool: PoolStates, reason: Ejection['reason']): boolean {
    const ejected = [...pool.keys()].filter((agentId) => this.isEjected(agentId)).length;
    const limit = reason === 'unreachable' ? 1 - MIN_USABLE_SHARE : MAX_EJECTED_SHARE;
    // 30% of three servers is less than one, but one slow server of three should be ejected.
    const minEjections = pool.size >= MIN_SERVERS ? 1 : 0;
    return ejected + 1 <= Math.max(minEjections, Math.floor(limit * pool.size));
  }
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
