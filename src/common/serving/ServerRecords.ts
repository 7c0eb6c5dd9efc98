import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** Time without requests after a connection failure, in ms; doubles with each consecutive one. */
const INITIAL_BACKOFF_MS = 300;
const MAX_BACKOFF_MS = 4000;

/** Weight of the newest result in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.15;

/** Excess of a server's failure rate over the lowest rate of its pool above which it is avoided. */
const MAX_EXCESS_FAILURE_RATE = 0.25;

/** Half-life of the failure rate without new results, in ms, so that a server is tried again. */
const FAILURE_RATE_HALF_LIFE_MS = 3000;

interface ServerRecord {
  running: number;
  /** Prompt tokens of requests that are still in prefill. */
  pendingTokens: number;
  /** Consecutive connection failures. */
  consecutiveFailures: number;
  /** On the clock, in ms. */
  backoffUntil: number;
  /** Moving average, 0 to 1, as of `failureRateAt`. */
  failureRate: number;
  /** Time of the last update, on the clock, in ms. */
  failureRateAt: number;
}

/**
 * What the end of a request shows about the health of its server. `unreachable`: no byte of the
 * request was sent. `full`: the server refused the request.
 */
export type RequestSignal = 'succeeded' | 'failed' | 'unreachable' | 'full';

/** A request that is on a server. It belongs to the server as it was when the request was sent. */
export interface OutstandingRequest {
  /** Called once when its prefill has ended. */
  markPrefilled(): void;
  /** Called once when it has ended. */
  end(): void;
}

/**
 * Outstanding work and failures of backend servers, as observed by this process.
 *
 * Detects servers that fail some of their requests, crash or stop responding while their
 * registration still shows them as ready.
 */
export class ServerRecords {
  private readonly records = new Map<string, ServerRecord>();

  constructor(private readonly clock: Clock) {}

  /**
   * Records that a request is sent to the server.
   * @param serverId - id of the server
   * @param tokens - prompt tokens that the server has to prefill; 0 for other services
   * @returns the request, whose end counts for nothing once the server was forgotten
   */
  begin(serverId: string, tokens: number): OutstandingRequest {
    const record = this.recordOf(serverId);
    record.running += 1;
    record.pendingTokens += tokens;
    return {
      markPrefilled: () => {
        record.pendingTokens -= tokens;
      },
      end: () => {
        record.running -= 1;
      },
    };
  }

  /** Updates the health of a server after a request. */
  recordOutcome(serverId: string, signal: RequestSignal): void {
    const record = this.recordOf(serverId);
    const now = this.clock.now();
    if (signal === 'unreachable') {
      const backoffMs = Math.min(
        MAX_BACKOFF_MS,
        INITIAL_BACKOFF_MS * 2 ** record.consecutiveFailures,
      );
      record.consecutiveFailures += 1;
      record.backoffUntil = now + backoffMs;
      return;
    }
    if (signal === 'succeeded') record.consecutiveFailures = 0;
    const rate = this.failureRate(record, now);
    const sample = signal === 'succeeded' ? 0 : 1;
    record.failureRate = rate + FAILURE_WEIGHT * (sample - rate);
    record.failureRateAt = now;
  }

  /** @returns number of requests of this process that run on the server */
  running(serverId: string): number {
    return this.records.get(serverId)?.running ?? 0;
  }

  /** @returns number of prompt tokens of this process that the server has yet to prefill */
  pendingTokens(serverId: string): number {
    return this.records.get(serverId)?.pendingTokens ?? 0;
  }

  /** @returns running requests and prompt tokens to prefill, by id of each server with requests */
  engineLoads(): Record<string, [number, number]> {
    return Object.fromEntries(
      [...this.records]
        .filter(([, { running }]) => running > 0)
        .map(([id, { running, pendingTokens }]) => [id, [running, pendingTokens]]),
    );
  }

  /** @returns the servers without too many recent failures; all servers if there are none */
  healthy(servers: readonly BackendServer[]): readonly BackendServer[] {
    const now = this.clock.now();
    const rates = servers.map(({ id }) => this.failureRate(this.recordOf(id), now));
    const maxRate = Math.min(...rates) + MAX_EXCESS_FAILURE_RATE;
    const healthy = servers.filter(
      ({ id }, index) => this.recordOf(id).backoffUntil <= now && (rates[index] ?? 0) <= maxRate,
    );
    return healthy.length > 0 ? healthy : servers;
  }

  /** Discards the record of a server that was removed. */
  forget(serverId: string): void {
    this.records.delete(serverId);
  }

  private failureRate(record: ServerRecord, now: number): number {
    const elapsed = now - record.failureRateAt;
    return record.failureRate * 0.5 ** (elapsed / FAILURE_RATE_HALF_LIFE_MS);
  }

  private recordOf(serverId: string): ServerRecord {
    const existing = this.records.get(serverId);
    if (existing) return existing;
    const record = {
      running: 0,
      pendingTokens: 0,
      consecutiveFailures: 0,
      backoffUntil: -Infinity,
      failureRate: 0,
      failureRateAt: 0,
    };
    this.records.set(serverId, record);
    return record;
  }
}

/**
 * Chooses the server of a plain service with the least outstanding work per slot. Among equals, a
 * server in the failure domain of this process is preferred.
 * @param servers - candidates
 * @param records - outstanding work by server
 * @param failureDomain - failure domain of this process
 * @param random - returns a number at least 0 and below 1, used to break ties
 * @returns the chosen server; undefined if there are no candidates
 */
export function choosePlainServer(
  servers: readonly BackendServer[],
  records: ServerRecords,
  failureDomain: string,
  random: () => number,
): BackendServer | undefined {
  const scored = servers.map((server) => ({
    server,
    score:
      records.running(server.id) / server.slots +
      (server.failureDomain === failureDomain ? 0 : 0.01) +
      random() * 0.005,
  }));
  scored.sort((left, right) => left.score - right.score);
  return scored[0]?.server;
}
