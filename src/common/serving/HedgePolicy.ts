import { LRUCache } from 'lru-cache';
import type { Clock } from '../time/Types.js';
import type { HedgeSettings } from './HedgeSettings.js';
import { LatencyQuantiles } from './LatencyQuantiles.js';

/** Maximum number of services whose state is kept; the least recently used go first. */
export const MAX_HEDGED_SERVICES = 200;

/** Maximum number of hedges that a service may save up in one process. */
export const MAX_SAVED_HEDGES = 5;

/**
 * Longest delay, as a multiple of the median latency. If more than a few servers are slow, the high
 * quantile is the latency of the slow ones.
 */
const MAX_DELAY_MEDIANS = 3;

/** Weight of the newest send in the moving average of the share of slow sends. */
const SLOW_WEIGHT = 0.15;

/** Share of slow sends above which the service as a whole counts as slow. */
const MAX_SLOW_SHARE = 0.5;

/** Requests whose latencies are comparable. */
export interface HedgeWork {
  readonly route: string;
  readonly service: string;
}

/** When a request is hedged. */
export interface HedgePlan {
  /** Time from the first send to the hedge, in ms. */
  readonly delayMs: number;
  /** Time that the hedge is expected to take, in ms. */
  readonly expectedMs: number;
}

/** A server that may receive work, as this process sees it. */
export interface HedgeCandidate {
  readonly id: string;
  readonly slots: number;
  /** Requests of all processes that run on the server. */
  readonly running: number;
  /** Whether the server is healthy, stays, and has neither a limit nor a pause. */
  readonly isUnrestricted: boolean;
}

interface ServiceState {
  savedHedges: number;
  /** Moving average of the share of sends that took longer than their delay, 0 to 1. */
  slowShare: number;
}

/**
 * Decides whether a slow request is hedged: sent to a second server whose answer may come first.
 *
 * Handles one slow server beside sound ones and answers that are lost on the way. If the service as a
 * whole is slow, or many of its slots are in use, a hedge would only add load, so none is sent.
 */
export class HedgePolicy {
  private readonly latencies: LatencyQuantiles;

  private readonly services = new LRUCache<string, ServiceState>({ max: MAX_HEDGED_SERVICES });

  /**
   * @param clock - time source
   * @param settings - budget and thresholds
   */
  constructor(
    clock: Clock,
    private readonly settings: HedgeSettings,
  ) {
    this.latencies = new LatencyQuantiles(clock, settings.quantile);
  }

  /** Counts a request of the service, to which the allowed hedges are proportional. */
  recordRequest(service: string): void {
    const state = this.stateOf(service);
    state.savedHedges = Math.min(MAX_SAVED_HEDGES, state.savedHedges + this.settings.ratio);
  }

  /**
   * Records how long a send took: until its whole answer, or the first event of its stream.
   * @param work - kind of work
   * @param latencyMs - latency, in ms; of a send that was cancelled because its hedge was faster, the
   *   time until then
   */
  recordLatency(work: HedgeWork, latencyMs: number): void {
    this.latencies.record(keyOf(work), latencyMs);
  }

  /** Records whether a first send of the service took longer than the delay of its hedge. */
  recordSend(service: string, isSlow: boolean): void {
    const state = this.stateOf(service);
    state.slowShare += SLOW_WEIGHT * ((isSlow ? 1 : 0) - state.slowShare);
  }

  /**
   * @param work - kind of work of a request that is sent now
   * @param remainingMs - time in which its answer is of use, in ms
   * @returns when it may be hedged; undefined if the latencies are unknown or the time is too short
   */
  planOf(work: HedgeWork, remainingMs: number): HedgePlan | undefined {
    const latencies = this.latencies.of(keyOf(work));
    if (!latencies) return undefined;
    const { medianMs, highMs } = latencies;
    const limitMs = Math.min(highMs, MAX_DELAY_MEDIANS * medianMs);
    const delayMs = Math.max(this.settings.minDelayMs, limitMs);
    return delayMs + medianMs <= remainingMs ? { delayMs, expectedMs: medianMs } : undefined;
  }

  /**
   * Chooses the servers that a request whose delay has ended may be hedged to.
   * @param service - service of the request
   * @param servers - its servers
   * @param remainingMs - time in which an answer is of use, in ms
   * @param plan - plan of the request
   * @returns ids of the servers; empty if no hedge may be sent
   */
  targetsOf(
    service: string,
    servers: readonly HedgeCandidate[],
    remainingMs: number,
    { expectedMs }: HedgePlan,
  ): ReadonlySet<string> {
    const { savedHedges, slowShare } = this.stateOf(service);
    const slots = servers.reduce((sum, server) => sum + server.slots, 0);
    const running = servers.reduce((sum, server) => sum + server.running, 0);
    const isAllowed =
      savedHedges >= 1 &&
      slowShare <= MAX_SLOW_SHARE &&
      running <= this.settings.maxLoad * slots &&
      expectedMs <= remainingMs;
    if (!isAllowed) return new Set();
    const targets = servers.filter((server) => server.isUnrestricted && hasRoom(server));
    return new Set(targets.map(({ id }) => id));
  }

  /** Charges a hedge to the budget of the service. */
  recordHedge(service: string): void {
    this.stateOf(service).savedHedges -= 1;
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const state = { savedHedges: 0, slowShare: 0 };
    this.services.set(service, state);
    return state;
  }
}

function hasRoom({ running, slots }: HedgeCandidate): boolean {
  return running < slots;
}

function keyOf({ route, service }: HedgeWork): string {
  return `${route} ${service}`;
}
