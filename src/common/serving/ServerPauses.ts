import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** Longest pause that is kept, in ms; a server that asks for more gets requests after it. */
const MAX_PAUSE_MS = 60_000;

/**
 * Longest time by which a process returns after the end of a pause, in ms. All processes learn of a
 * pause at about the same time and would return together.
 */
const RETURN_SPREAD_MS = 500;

/** Time from the return for which the requests are limited, in ms, and their rate per process. */
const RETURN_MS = 1000;
const RETURN_REQUESTS_PER_S = 10;

/** Maximum number of servers whose pauses are remembered; the oldest go first. */
const MAX_SERVERS = 1000;

const MS_PER_SECOND = 1000;

/** A pause of a server that began or was extended. */
export interface ServerPause {
  readonly server: string;
  /** Time until its end, in ms. */
  readonly pauseMs: number;
}

interface Pause {
  readonly startedAtMs: number | undefined;
  /** End of the pause, on the clock, in ms. */
  readonly endsAt: number;
  /** Time at which this process returns, on the clock, in ms. */
  readonly returnsAt: number;
  /** Requests sent since the return. */
  requests: number;
}

/**
 * Pauses for which servers asked this process when they turned a request away.
 *
 * A pause is between one server and one process, so peers are not told. Handles overloaded servers
 * beside others with room, and all servers of a service that pause at once: requests return one by
 * one, so that those that waited do not overload the server at the same moment again.
 */
export class ServerPauses {
  private readonly pauses = new Map<string, Pause>();

  private readonly changedEmitter = new Emitter<ServerPause>();

  /** Fired when a pause begins or is extended. */
  readonly onChanged = this.changedEmitter.event;

  /**
   * @param clock - time source
   * @param random - random source for jitter, at least 0 and below 1
   */
  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {}

  /** Number of servers that pause now. */
  get count(): number {
    const now = this.clock.now();
    return [...this.pauses.values()].filter(({ endsAt }) => now < endsAt).length;
  }

  /**
   * Records that a server turned a request away.
   * @param server - the server
   * @param pauseMs - time for which it wants no requests from this process, in ms
   */
  record(server: BackendServer, pauseMs: number): void {
    const now = this.clock.now();
    const endsAt = now + Math.min(pauseMs, MAX_PAUSE_MS);
    if (pauseMs <= 0 || endsAt <= (this.pauseOf(server)?.endsAt ?? now)) return;
    const { id, startedAtMs } = server;
    const returnsAt = endsAt + this.random() * RETURN_SPREAD_MS;
    this.pauses.delete(id);
    this.pauses.set(id, { startedAtMs, endsAt, returnsAt, requests: 0 });
    if (this.pauses.size > MAX_SERVERS) this.pauses.delete(this.pauses.keys().next().value!);
    this.changedEmitter.fire({ server: id, pauseMs: endsAt - now });
  }

  /** Records that a request is sent to a server. */
  recordRequest(server: BackendServer): void {
    const pause = this.pauseOf(server);
    if (pause && this.clock.now() >= pause.returnsAt) pause.requests += 1;
  }

  /**
   * @param server - server that requests could be sent to
   * @param planned - number of requests that are about to be sent to it
   * @returns time until it may be sent another request, in ms
   */
  waitMs(server: BackendServer, planned = 0): number {
    const pause = this.pauseOf(server);
    if (!pause) return 0;
    const sinceReturnMs = this.clock.now() - pause.returnsAt;
    if (sinceReturnMs >= RETURN_MS) {
      this.pauses.delete(server.id);
      return 0;
    }
    const dueMs = ((pause.requests + planned) * MS_PER_SECOND) / RETURN_REQUESTS_PER_S;
    return Math.max(0, dueMs - sinceReturnMs);
  }

  /** Discards the pause of a server that was removed without showing when it had started. */
  forget(server: BackendServer): void {
    if (server.startedAtMs === undefined) this.pauses.delete(server.id);
  }

  private pauseOf({ id, startedAtMs }: BackendServer): Pause | undefined {
    const pause = this.pauses.get(id);
    return pause && pause.startedAtMs === startedAtMs ? pause : undefined;
  }
}
