import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** A server whose connection failed is avoided for this long, doubled with each failure in a row. */
const FIRST_AVOIDANCE_MS = 300;
const MAX_AVOIDANCE_MS = 4000;

/** Weight of the newest result in the share of failures. */
const FAILURE_GAIN = 0.15;

/** A server that fails more than this share above the best server of its pool is avoided. */
const FAILURE_SHARE_LIMIT = 0.25;

/** The share of failures halves in this time without results, so that a server is tried again. */
const FAILURE_HALF_LIFE_MS = 3000;

interface ServerRecord {
  running: number;
  /** Prompt tokens of requests that have not sent their first event. */
  pendingTokens: number;
  failures: number;
  avoidedUntil: number;
  failureShare: number;
  failureShareAt: number;
}

/** How a request ended at a server, as far as it tells about the server. */
export type ServerSignal = 'succeeded' | 'failed' | 'unreachable' | 'full';

/**
 * Own knowledge of backend servers: outstanding work and failures.
 *
 * Answers this load pattern: servers that fail a part of their requests, crash or go silent while
 * their registration still says that they are ready.
 */
export class ServerRecords {
  private readonly records = new Map<string, ServerRecord>();

  constructor(private readonly clock: Clock) {}

  begin(serverId: string, tokens: number): void {
    const record = this.recordOf(serverId);
    record.running += 1;
    record.pendingTokens += tokens;
  }

  /** Notes that the prompt was read. */
  markPrefilled(serverId: string, tokens: number): void {
    this.recordOf(serverId).pendingTokens -= tokens;
  }

  end(serverId: string): void {
    this.recordOf(serverId).running -= 1;
  }

  note(serverId: string, signal: ServerSignal): void {
    const record = this.recordOf(serverId);
    const now = this.clock.now();
    if (signal === 'unreachable') {
      const length = Math.min(MAX_AVOIDANCE_MS, FIRST_AVOIDANCE_MS * 2 ** record.failures);
      record.failures += 1;
      record.avoidedUntil = now + length;
      return;
    }
    if (signal === 'succeeded') record.failures = 0;
    const share = this.failureShare(record, now);
    const newest = signal === 'succeeded' ? 0 : 1;
    record.failureShare = share + FAILURE_GAIN * (newest - share);
    record.failureShareAt = now;
  }

  running(serverId: string): number {
    return this.records.get(serverId)?.running ?? 0;
  }

  pendingTokens(serverId: string): number {
    return this.records.get(serverId)?.pendingTokens ?? 0;
  }

  /** @returns running requests and unread prompt tokens of each server that has any */
  engineLoads(): Record<string, [number, number]> {
    return Object.fromEntries(
      [...this.records]
        .filter(([, { running }]) => running > 0)
        .map(([id, { running, pendingTokens }]) => [id, [running, pendingTokens]]),
    );
  }

  /** @returns servers without recent failures; all of them if none is left */
  healthy(servers: readonly BackendServer[]): readonly BackendServer[] {
    const now = this.clock.now();
    const shares = servers.map(({ id }) => this.failureShare(this.recordOf(id), now));
    const limit = Math.min(...shares) + FAILURE_SHARE_LIMIT;
    const healthy = servers.filter(
      ({ id }, index) => this.recordOf(id).avoidedUntil <= now && (shares[index] ?? 0) <= limit,
    );
    return healthy.length > 0 ? healthy : servers;
  }

  forget(serverId: string): void {
    this.records.delete(serverId);
  }

  private failureShare(record: ServerRecord, now: number): number {
    const elapsed = now - record.failureShareAt;
    return record.failureShare * 0.5 ** (elapsed / FAILURE_HALF_LIFE_MS);
  }

  private recordOf(serverId: string): ServerRecord {
    const known = this.records.get(serverId);
    if (known) return known;
    const record = {
      running: 0,
      pendingTokens: 0,
      failures: 0,
      avoidedUntil: -Infinity,
      failureShare: 0,
      failureShareAt: 0,
    };
    this.records.set(serverId, record);
    return record;
  }
}

/**
 * Chooses the server of a plain service with the least outstanding work for its size, the nearer
 * one of two equal ones.
 * @param servers - candidates
 * @param records - own knowledge
 * @param failureDomain - own failure domain
 * @param random - breaks ties, at least 0 and below 1
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
