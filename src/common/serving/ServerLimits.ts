import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { OwnRate } from './ColdServers.js';
import type { BackendServer } from './ServingConfiguration.js';

/** What a process last saw of the limits of servers, by server id; sent to its peers. */
export const ServerLimitReports = z.record(
  z.string(),
  z.object({
    /** Requests per second; null if the server takes any number again. */
    requestsPerS: z.number().min(0).nullable(),
    /** Time since the last response that showed this, in ms. */
    ageMs: z.number().min(0),
  }),
);
export type ServerLimitReports = z.infer<typeof ServerLimitReports>;

/** A limit that a server named, or its end. */
export interface ServerLimitChange {
  readonly server: string;
  /** Requests per second from all processes together; undefined if the server takes any number. */
  readonly requestsPerS: number | undefined;
}

interface ServerLimit {
  /** Undefined if the server takes any number again. */
  readonly requestsPerS: number | undefined;
  /** Time of the last response that showed this, on the clock, in ms. */
  readonly at: number;
  /** Whether this process got the response. Others are not passed on: their ages would drift. */
  readonly isOwn: boolean;
}

/** Requests that this process may send to a limited server. */
interface TokenBucket {
  tokens: number;
  /** On the clock, in ms. */
  updatedAt: number;
}

/**
 * Time without a response that names a limit before one without it ends the limit, in ms. Responses
 * arrive in another order than they were created.
 */
const LIMIT_HOLD_MS = 1000;

/** Time for which the end of a limit is sent to the peers, in ms. */
const END_REPORT_MS = 10_000;

/**
 * Lowest limit that is kept, in requests per second. Only the response to a request shows that a
 * limit has ended, so a server that takes none still gets one now and then.
 */
const MIN_REQUESTS_PER_S = 0.2;

/** Maximum number of servers whose limits are remembered; the ones seen least recently go first. */
const MAX_SERVERS = 1000;

/** Time in which a process may catch up on its share, in ms. */
const BURST_MS = 250;

const MS_PER_SECOND = 1000;

/**
 * Keeps the requests to each server within the limit that the server names in its responses.
 *
 * Handles a server in need beside others that could take its requests, and one that is the only
 * server of its service, and servers that are cold. The limit holds for all processes together: each
 * has a share of it, and what a server told one process, heartbeats tell the others.
 */
export class ServerLimits {
  private readonly limits = new Map<string, ServerLimit>();

  private readonly buckets = new Map<string, TokenBucket>();

  private readonly changedEmitter = new Emitter<ServerLimitChange>();

  /** Fired when a server names a limit, changes it or takes any number of requests again. */
  readonly onChanged = this.changedEmitter.event;

  /**
   * @param clock - time source
   * @param shareOf - returns this process's share of a server's limit, 0 to 1
   * @param coldRateOf - returns the further limit of this process for a server that is cold or was
   *   until recently; the lower of the two applies
   */
  constructor(
    private readonly clock: Clock,
    private readonly shareOf: (server: BackendServer, requestsPerS: number) => number,
    private readonly coldRateOf: (server: BackendServer) => OwnRate | undefined = () => undefined,
  ) {}

  /** What this process last saw, for its peers. */
  get reports(): ServerLimitReports {
    const now = this.clock.now();
    const own = [...this.limits].filter(
      ([, { requestsPerS, at, isOwn }]) =>
        isOwn && (requestsPerS !== undefined || now - at < END_REPORT_MS),
    );
    return Object.fromEntries(
      own.map(([server, { requestsPerS, at }]) => [
        server,
        { requestsPerS: requestsPerS ?? null, ageMs: now - at },
      ]),
    );
  }

  /**
   * @param serverId - id of a server
   * @returns requests per second that it takes from all processes; undefined for any number
   */
  requestsPerS(serverId: string): number | undefined {
    const requestsPerS = this.limits.get(serverId)?.requestsPerS;
    return requestsPerS === undefined ? undefined : Math.max(MIN_REQUESTS_PER_S, requestsPerS);
  }

  /**
   * @param server - server that requests could be sent to
   * @param planned - number of requests that are about to be sent to it
   * @returns whether this process may send it another request now
   */
  mayRequest(server: BackendServer, planned = 0): boolean {
    const rate = this.ownRateOf(server);
    return rate === undefined || this.refill(server, rate) >= 1 + planned;
  }

  /**
   * @param server - server that requests could be sent to
   * @returns time until this process may send it a request, in ms; if it never may, the time until
   *   some process may
   */
  waitMs(server: BackendServer): number {
    const rate = this.ownRateOf(server);
    if (rate === undefined) return 0;
    const missing = 1 - this.refill(server, rate);
    if (missing <= 0) return 0;
    const { requestsPerS, waitMs } = rate;
    return requestsPerS > 0 ? (missing * MS_PER_SECOND) / requestsPerS : waitMs;
  }

  /** Records that a request is sent to a server. */
  recordRequest(server: BackendServer): void {
    const rate = this.ownRateOf(server);
    if (rate === undefined) return;
    this.refill(server, rate);
    this.buckets.get(server.id)!.tokens -= 1;
  }

  /**
   * Records a response.
   * @param serverId - id of the server
   * @param requestsPerS - limit that the response names; undefined if it names none
   */
  recordResponse(serverId: string, requestsPerS: number | undefined): void {
    const now = this.clock.now();
    const known = this.limits.get(serverId);
    if (requestsPerS === undefined) {
      if (known?.requestsPerS === undefined || now - known.at < LIMIT_HOLD_MS) return;
    }
    this.set(serverId, { requestsPerS, at: now, isOwn: true });
  }

  /** Adds what a peer saw, where it is newer. */
  merge(reports: ServerLimitReports): void {
    const now = this.clock.now();
    Object.entries(reports).forEach(([serverId, { requestsPerS, ageMs }]) => {
      const at = now - ageMs;
      if (at <= (this.limits.get(serverId)?.at ?? -Infinity)) return;
      this.set(serverId, { requestsPerS: requestsPerS ?? undefined, at, isOwn: false });
    });
  }

  /** Discards the limit of a server that was removed or has restarted. */
  forget(serverId: string): void {
    this.limits.delete(serverId);
    this.buckets.delete(serverId);
  }

  private set(serverId: string, limit: ServerLimit): void {
    const previous = this.limits.get(serverId)?.requestsPerS;
    const { requestsPerS } = limit;
    this.limits.delete(serverId);
    this.limits.set(serverId, limit);
    if (requestsPerS === undefined) this.buckets.delete(serverId);
    if (this.limits.size > MAX_SERVERS) this.forget(this.limits.keys().next().value!);
    if (previous !== requestsPerS) this.changedEmitter.fire({ server: serverId, requestsPerS });
  }

  /** @returns the lower of the limits on the requests of this process; undefined without a limit */
  private ownRateOf(server: BackendServer): OwnRate | undefined {
    const requestsPerS = this.requestsPerS(server.id);
    const coldRate = this.coldRateOf(server);
    if (requestsPerS === undefined) {
      // What was saved up before must not be sent at the beginning of a cold period.
      if (!coldRate) this.buckets.delete(server.id);
      return coldRate;
    }
    const namedRate = {
      requestsPerS: requestsPerS * this.shareOf(server, requestsPerS),
      waitMs: MS_PER_SECOND / requestsPerS,
      saved: 1,
    };
    return coldRate && coldRate.requestsPerS <= namedRate.requestsPerS ? coldRate : namedRate;
  }

  /** @returns number of requests that may be sent to the server now */
  private refill(server: BackendServer, { requestsPerS, saved }: OwnRate): number {
    const now = this.clock.now();
    const bucket = this.buckets.get(server.id) ?? { tokens: 0, updatedAt: now };
    this.buckets.set(server.id, bucket);
    const perMs = requestsPerS / MS_PER_SECOND;
    const capacity = Math.max(saved, perMs * BURST_MS);
    bucket.tokens = Math.min(capacity, bucket.tokens + perMs * (now - bucket.updatedAt));
    bucket.updatedAt = now;
    return bucket.tokens;
  }
}
