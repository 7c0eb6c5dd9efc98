import type { Clock } from '../time/Types.js';
import { ColdServers, type ColdServersServices } from './ColdServers.js';
import { ServerDepartures, type DepartureBounds } from './ServerDepartures.js';
import { ServerLimits } from './ServerLimits.js';
import { ServerPauses } from './ServerPauses.js';
import type { BackendServer } from './ServingConfiguration.js';

/** What a server says of itself in a response. */
export interface ServerStatement {
  /** Requests per second that it takes from all processes together; undefined if unlimited. */
  readonly requestsPerS: number | undefined;
  /** Whether it leaves. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this process, in ms; undefined for none. */
  readonly pauseMs: number | undefined;
  /** Time for which it is still cold, in ms; undefined if it does not say. */
  readonly coldMs?: number | undefined;
  /** Whether it states such a time that cannot be read. */
  readonly isColdMsUnreadable?: boolean | undefined;
}

type StatementHandlers = {
  readonly [Key in 'requestsPerS' | 'isLeaving' | 'pauseMs']: (
    server: BackendServer,
    value: ServerStatement[Key],
  ) => void;
};

/** Dependencies of {@link ServerStatements}. */
export interface ServerStatementsServices {
  readonly clock: Clock;
  readonly random: () => number;
  readonly departureBounds: DepartureBounds;
  /** @returns this process's share of a server's limit, 0 to 1 */
  readonly limitShareOf: (server: BackendServer, requestsPerS: number) => number;
  /** Absent if the deployment has no bounds for cold servers. */
  readonly cold?: Omit<ColdServersServices, 'clock'> | undefined;
}

/**
 * What servers say of themselves in their responses: limits, departures, pauses and cold periods. A
 * process learns it before the store does and also while the store is silent.
 */
export class ServerStatements {
  readonly limits: ServerLimits;

  readonly departures: ServerDepartures;

  readonly pauses: ServerPauses;

  /** Undefined if the deployment has no bounds for cold servers. */
  readonly cold: ColdServers | undefined;

  private readonly handlers: StatementHandlers = {
    requestsPerS: (server, requestsPerS) => this.limits.recordResponse(server.id, requestsPerS),
    isLeaving: (server, isLeaving) => isLeaving && this.departures.recordResponse(server),
    pauseMs: (server, pauseMs) => pauseMs !== undefined && this.pauses.record(server, pauseMs),
  };

  constructor({ clock, random, departureBounds, limitShareOf, cold }: ServerStatementsServices) {
    this.cold = cold && new ColdServers({ clock, ...cold });
    this.limits = new ServerLimits(clock, limitShareOf, (server) => this.cold?.ownRateOf(server));
    this.departures = new ServerDepartures(clock, departureBounds);
    this.pauses = new ServerPauses(clock, random);
  }

  /** Records what a server says in a response. */
  recordResponse(server: BackendServer, statement: ServerStatement): void {
    this.handlers.requestsPerS(server, statement.requestsPerS);
    this.handlers.isLeaving(server, statement.isLeaving);
    this.handlers.pauseMs(server, statement.pauseMs);
    const { coldMs, isColdMsUnreadable = false } = statement;
    this.cold?.recordResponse(server, coldMs, isColdMsUnreadable);
  }

  /** Records that a server refused a connection. */
  recordRefusedConnection(server: BackendServer): void {
    this.cold?.recordRefusal(server);
  }

  /** Records the registration of a server. */
  recordRegistration(server: BackendServer): void {
    this.cold?.recordRegistration(server);
  }

  /**
   * Starts the ramp that follows a cold period for a server that gets requests again, whether it is
   * cold or not: the rate doubles each second from that of a cold server of its service, for 4 s.
   * Does nothing if the deployment has no bounds for cold servers or the service specifies no rate.
   * @param server - server that gets requests again
   */
  rampUp(server: BackendServer): void {
    this.cold?.rampUp(server);
  }

  /** @returns whether the server is cold, so that its work takes longer */
  isCold(server: BackendServer): boolean {
    return this.cold?.isCold(server) ?? false;
  }

  /** Records that a request is sent to a server. */
  recordRequest(server: BackendServer): void {
    this.limits.recordRequest(server);
    this.pauses.recordRequest(server);
  }

  /**
   * @param server - server that requests could be sent to
   * @param planned - number of requests that are about to be sent to it
   * @returns whether this process may send it another request now
   */
  mayRequest(server: BackendServer, planned = 0): boolean {
    return (
      this.limits.mayRequest(server, planned) &&
      this.pauses.waitMs(server, planned) <= 0 &&
      this.isServing(server)
    );
  }

  /** @returns whether the server stays, or takes requests as long as there is no other one */
  isServing(server: BackendServer): boolean {
    return !this.departures.has(server) || this.departures.isInGrace(server);
  }

  /**
   * @param server - server that requests could be sent to
   * @returns time until some process may send it a request, in ms
   */
  waitMs(server: BackendServer): number {
    return Math.max(this.limits.waitMs(server), this.pauses.waitMs(server));
  }

  /** @returns time until the pause of the server ends for this process, in ms; 0 for none */
  pauseMs(server: BackendServer): number {
    return this.pauses.waitMs(server);
  }

  /** @returns requests per second that the server takes; undefined for any number */
  requestsPerS(serverId: string): number | undefined {
    const requestsPerS = this.limits.requestsPerS(serverId);
    const coldPerS = this.cold?.requestsPerS(serverId);
    if (requestsPerS === undefined || coldPerS === undefined) return requestsPerS ?? coldPerS;
    return Math.min(requestsPerS, coldPerS);
  }

  /** Ends departures and cold periods that are over. Called several times a second. */
  check(): void {
    this.departures.check();
    this.cold?.check();
  }

  /** Discards what belongs to a server that was removed or has restarted. */
  forget(server: BackendServer): void {
    this.limits.forget(server.id);
    this.pauses.forget(server);
    this.cold?.forget(server);
  }
}
