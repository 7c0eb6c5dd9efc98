import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import { coldRate, RAMP_MS, type ColdBounds, type ColdRate } from './ColdRate.js';
import { ServerColdState, type ColdSource } from './ServerColdState.js';
import type { BackendServer, ColdCapacity } from './ServingConfiguration.js';
import { MAX_COLD_MS } from './StatedPeriod.js';

/** Remaining cold periods that a process knows itself, in ms, by server id; sent to its peers. */
export const ColdServerReports = z.record(z.string(), z.number().min(0));
export type ColdServerReports = z.infer<typeof ColdServerReports>;

/** A cold period that began or ended. */
export interface ColdPeriodChange {
  readonly server: string;
  readonly isCold: boolean;
  /** How this process learned of it. */
  readonly source: ColdSource;
  /** Remaining time, in ms; 0 at the end. */
  readonly leftMs: number;
}

/** A statement of a server about its cold period that is not taken as it is. */
export interface DoubtfulStatement {
  readonly server: string;
  readonly reason: 'unreadable' | 'too-long';
}

/** Limit on the requests of this process alone. */
export interface OwnRate {
  /** 0 if this process may send none. */
  readonly requestsPerS: number;
  /** Time after which a process may send a request if this one may send none, in ms. */
  readonly waitMs: number;
  /** Requests that may be saved up, whatever the rate. */
  readonly saved: number;
}

/** Dependencies of {@link ColdServers}. */
export interface ColdServersServices {
  readonly clock: Clock;
  readonly bounds: ColdBounds;
  /** @returns what a service specifies; undefined for nothing, or without a configuration yet */
  readonly capacityOf: (service: string) => ColdCapacity | undefined;
  /** @returns share of this process in the rate of a server, 0 to 1 */
  readonly shareOf: (server: BackendServer, maxSharers: number) => number;
}

/**
 * Time from the first registration in which servers count as known before, in ms: the first read of
 * the table shows servers that started long ago as well as new ones.
 */
const FIRST_READ_MS = 1000;

/** Maximum number of servers in a heartbeat; the ones that stay cold the longest. */
const MAX_REPORTED = 200;

/** Maximum number of server starts that are remembered; servers that are gone are evicted first. */
const MAX_SERVERS = 1000;

/** Longest wait stated to a caller if this process may send no request, in ms. */
const MAX_OTHER_PROCESS_WAIT_MS = 1000;

const MS_PER_SECOND = 1000;

/**
 * Knows which servers are cold, and limits the requests of this process to them.
 *
 * Handles a server that has just started and looks the least loaded to all processes, and a whole
 * failure domain that starts, or becomes cold, while requests wait. All sources of knowledge count,
 * and the latest end applies, since a request too many makes the server crash.
 */
export class ColdServers {
  private readonly states = new Map<string, ServerColdState>();

  private firstRegistrationAt: number | undefined;

  private readonly changedEmitter = new Emitter<ColdPeriodChange>();

  private readonly doubtedEmitter = new Emitter<DoubtfulStatement>();

  /** Fired when a server becomes cold and at the end of its cold period. */
  readonly onChanged = this.changedEmitter.event;

  /** Fired with the first unreadable or too long statement of a period. */
  readonly onDoubted = this.doubtedEmitter.event;

  constructor(private readonly services: ColdServersServices) {}

  /** Number of registered servers that are cold. */
  get count(): number {
    return [...this.states.values()].filter(
      (state) => state.isRegistered && state.isActive && this.leftMs(state) > 0,
    ).length;
  }

  /** What this process knows itself. What peers told is not passed on: its end would drift. */
  get reports(): ColdServerReports {
    const now = this.services.clock.now();
    const own = [...this.states]
      .filter(([, state]) => state.isActive)
      .map(([id, state]): [string, number] => {
        const capacity = this.capacityOf(state);
        return [id, capacity ? Math.round(state.ownEndsAt(capacity) - now) : 0];
      })
      .filter(([, leftMs]) => leftMs > 0);
    if (own.length > MAX_REPORTED) own.sort(([, left], [, right]) => right - left);
    return Object.fromEntries(own.slice(0, MAX_REPORTED));
  }

  /** Adds what a peer knows. */
  merge(reports: ColdServerReports): void {
    const now = this.services.clock.now();
    Object.entries(reports)
      .slice(0, MAX_REPORTED)
      .forEach(([id, leftMs]) => {
        const state = this.states.get(id) ?? this.remember(id, new ServerColdState(undefined));
        state.recordPeer(now + Math.min(leftMs, MAX_COLD_MS), now);
        this.update(id, state);
      });
  }

  /** Records a registration, as it was read from the store or from a peer. */
  recordRegistration(server: BackendServer): void {
    const now = this.services.clock.now();
    this.firstRegistrationAt ??= now;
    const known = this.states.get(server.id);
    const isStart = known?.server?.startedAtMs !== server.startedAtMs || !known?.server;
    const isSameRow =
      !isStart && server.sequence !== undefined && known.server?.sequence === server.sequence;
    const state = isStart ? this.recordStart(server, now) : known;
    state.server = server;
    state.isRegistered = true;
    // A row that is read again states a time that has partly passed.
    if (isSameRow) return;
    if (server.isColdLeftUnreadable) this.recordUnreadable(state, now);
    else if (state.recordRow(server.coldLeftMs ?? 0, now)) this.doubt(server.id, 'too-long');
    this.update(server.id, state);
  }

  /**
   * Records a response.
   * @param server - server that sent it
   * @param leftMs - remaining time that it states, in ms; undefined if it states none
   * @param isUnreadable - whether it states one that cannot be read
   */
  recordResponse(server: BackendServer, leftMs: number | undefined, isUnreadable: boolean): void {
    const known = this.states.get(server.id);
    if (!known?.isActive && leftMs === undefined && !isUnreadable) return;
    const now = this.services.clock.now();
    const state = known ?? this.remember(server.id, new ServerColdState(server));
    const capacity = this.capacityOf(state);
    if (capacity) state.recordAccepted(capacity, now);
    if (isUnreadable) this.recordUnreadable(state, now);
    else if (leftMs !== undefined && state.recordResponse(leftMs, now)) {
      this.doubt(server.id, 'too-long');
    }
    this.update(server.id, state);
  }

  /** Records that a server refused a connection: it may be restarting. */
  recordRefusal(server: BackendServer): void {
    const state =
      this.states.get(server.id) ?? this.remember(server.id, new ServerColdState(server));
    state.recordRefusal(this.services.clock.now());
    this.update(server.id, state);
  }

  /** Starts the ramp that follows a cold period, for a server that gets requests again. */
  rampUp(server: BackendServer): void {
    const state =
      this.states.get(server.id) ?? this.remember(server.id, new ServerColdState(server));
    state.recordRamp(this.services.clock.now());
  }

  /** @returns whether the server is cold now */
  isCold({ id }: BackendServer): boolean {
    const state = this.states.get(id);
    return state !== undefined && state.isActive && this.leftMs(state) > 0;
  }

  /** @returns requests per second from all processes together; undefined for any number */
  requestsPerS(serverId: string): number | undefined {
    const state = this.states.get(serverId);
    return state?.isActive ? this.rateOf(state)?.requestsPerS : undefined;
  }

  /**
   * @param server - server that requests could be sent to
   * @returns limit on the requests of this process; undefined if there is none
   */
  ownRateOf(server: BackendServer): OwnRate | undefined {
    const state = this.states.get(server.id);
    const rate = state?.isActive ? this.rateOf(state) : undefined;
    if (!state || !rate) return undefined;
    const share = this.services.shareOf(server, rate.maxSharers);
    const otherProcessMs = Math.min(MAX_OTHER_PROCESS_WAIT_MS, Math.max(0, this.leftMs(state)));
    return {
      requestsPerS: rate.requestsPerS * share,
      waitMs: Math.max(MS_PER_SECOND / rate.requestsPerS, otherProcessMs),
      // A process that has lost its share must not add what it saved up to those of the others.
      saved: share > 0 ? 1 : 0,
    };
  }

  /** Ends the periods and ramps that are over. Called several times a second. */
  check(): void {
    const now = this.services.clock.now();
    this.states.forEach((state, id) => {
      if (!state.isActive) return;
      this.update(id, state);
      const isKept = this.capacityOf(state)
        ? this.rateOf(state) !== undefined
        : now - state.changedAt < MAX_COLD_MS + RAMP_MS;
      if (!isKept) state.end();
    });
  }

  /** Records that a server was removed. If it returns with the same start, it stays cold. */
  forget(server: BackendServer): void {
    const state = this.states.get(server.id);
    if (server.startedAtMs === undefined) this.states.delete(server.id);
    else if (state) state.isRegistered = false;
  }

  private recordStart(server: BackendServer, now: number): ServerColdState {
    const state = new ServerColdState(server);
    state.inherit(this.states.get(server.id));
    this.remember(server.id, state);
    const ageMs = this.startAgeMs(server, now);
    if (ageMs !== undefined) state.recordStart(now, ageMs);
    return state;
  }

  /** @returns time since the server's start, in ms; undefined if only its statements count */
  private startAgeMs({ startedAtMs, coldLeftMs }: BackendServer, now: number): number | undefined {
    if (now - this.firstRegistrationAt! >= FIRST_READ_MS) return 0;
    if (startedAtMs === undefined || coldLeftMs !== undefined) return undefined;
    return this.services.clock.wallTime() - startedAtMs;
  }

  private recordUnreadable(state: ServerColdState, now: number): void {
    if (state.recordUnreadable(now)) this.doubt(state.server?.id ?? '', 'unreadable');
  }

  private doubt(server: string, reason: DoubtfulStatement['reason']): void {
    this.doubtedEmitter.fire({ server, reason });
  }

  private remember(id: string, state: ServerColdState): ServerColdState {
    this.states.delete(id);
    this.states.set(id, state);
    if (this.states.size > MAX_SERVERS) this.states.delete(this.leastNeeded());
    return state;
  }

  /**
   * @returns id of the first server that is not registered; of the first one if all are. A registered
   *   one would count as started with its next registration
   */
  private leastNeeded(): string {
    for (const [id, state] of this.states) {
      if (!state.isRegistered || !state.server) return id;
    }
    return this.states.keys().next().value!;
  }

  private capacityOf({ server }: ServerColdState): ColdCapacity | undefined {
    return server && this.services.capacityOf(server.service);
  }

  private rateOf(state: ServerColdState): ColdRate | undefined {
    const capacity = this.capacityOf(state);
    if (!capacity) return undefined;
    const sinceEndMs = state.sinceRampMs(capacity, this.services.clock.now());
    return coldRate(capacity, this.services.bounds, sinceEndMs);
  }

  /** @returns remaining time of the cold period, in ms; 0 or less if there is none */
  private leftMs(state: ServerColdState): number {
    const capacity = this.capacityOf(state);
    return capacity ? -state.sinceEndMs(capacity, this.services.clock.now()) : 0;
  }

  private update(id: string, state: ServerColdState): void {
    const leftMs = this.leftMs(state);
    const isCold = leftMs > 0;
    if (!state.observe(isCold)) return;
    const { source } = state;
    this.changedEmitter.fire({ server: id, isCold, source, leftMs: Math.max(0, leftMs) });
  }
}
