import type { Clock } from '../time/Types.js';
import type { ServerState } from './ServerState.js';
import type { FailureSignal } from './Types.js';

/** A server this many times slower than its pool's median is ejected. */
const SLOWNESS_LIMIT = 3;
const MIN_RESULTS = 10;

/** A median of fewer servers says little about which one is slow. */
const MIN_SERVERS = 3;
const MAX_EJECTED_SHARE = 0.3;
const FIRST_EJECTION_MS = 5000;
const MAX_EJECTION_MS = 60_000;
const MAX_CONSECUTIVE_FAILURES = 3;

/** An agent that can't be reached is avoided for this long, doubled each time. */
const FIRST_AVOIDANCE_MS = 1000;
const MAX_AVOIDANCE_MS = 8000;

/** At least this share of a pool is not avoided, lest a fault of the entry's own network ejects all. */
const MIN_USABLE_SHARE = 0.5;

/** Time over which a returning server takes its full share again. */
const SLOW_START_MS = 10_000;
const MIN_SLOW_START_SHARE = 0.1;

interface Ejection {
  untilMs: number;
  /** Consecutive ejections; a healthy period of the last length resets it. */
  count: number;
  reason: FailureSignal | 'slow';
}

/** States of the servers of one pool by agent id. */
export type PoolStates = ReadonlyMap<string, ServerState>;

/** Takes slow, failing and unreachable servers out of use for a time. */
export class OutlierEjection {
  private readonly ejections = new Map<string, Ejection>();

  constructor(private readonly clock: Clock) {}

  /** Judges a server after a result. */
  considerLatency(agentId: string, pool: PoolStates): boolean {
    const state = pool.get(agentId);
    if (!state || state.results < MIN_RESULTS) return false;
    const known = [...pool.values()].filter(({ results }) => results >= MIN_RESULTS);
    if (known.length < MIN_SERVERS) return false;
    if (state.slowness <= SLOWNESS_LIMIT * medianOf(known.map(({ slowness }) => slowness))) {
      return false;
    }
    return this.eject(agentId, pool, 'slow');
  }

  /** Judges a server after a failure. */
  considerFailure(agentId: string, signal: FailureSignal, pool: PoolStates): boolean {
    const state = pool.get(agentId);
    if (!state) return false;
    if (signal === 'failed' && state.consecutiveFailures < MAX_CONSECUTIVE_FAILURES) return false;
    return this.eject(agentId, pool, signal);
  }

  isEjected(agentId: string): boolean {
    const ejection = this.ejections.get(agentId);
    return ejection !== undefined && this.clock.now() < ejection.untilMs;
  }

  /** Ends the avoidance of an agent that was found to be reachable. */
  readmit(agentId: string): void {
    const ejection = this.ejections.get(agentId);
    if (ejection?.reason === 'unreachable') ejection.untilMs = this.clock.now();
  }

  /** @returns agents avoided because they could not be reached. */
  unreachable(): string[] {
    return [...this.ejections.entries()]
      .filter(([agentId, { reason }]) => reason === 'unreachable' && this.isEjected(agentId))
      .map(([agentId]) => agentId);
  }

  /** @returns share of its normal work that a server gets, above 0 and up to 1. */
  shareOf(agentId: string): number {
    const ejection = this.ejections.get(agentId);
    if (!ejection || ejection.reason === 'unreachable') return 1;
    const returnedForMs = this.clock.now() - ejection.untilMs;
    return Math.min(1, Math.max(MIN_SLOW_START_SHARE, returnedForMs / SLOW_START_MS));
  }

  forget(agentId: string): void {
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
    // 30% of three servers is less than one, and a slow one of three is worth leaving.
    const least = pool.size >= MIN_SERVERS ? 1 : 0;
    return ejected + 1 <= Math.max(least, Math.floor(limit * pool.size));
  }
}

function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
