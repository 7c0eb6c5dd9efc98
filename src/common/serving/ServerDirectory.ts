import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { ServerDepartures } from './ServerDepartures.js';
import type { EvacuationView } from './EvacuationView.js';
import type { BackendServer } from './ServingConfiguration.js';

/** A changed registration. `server` is missing if the row was removed or is malformed. */
export interface RegistrationChange {
  readonly id: string;
  readonly server?: BackendServer;
}

/** Evacuated failure domains. */
export type Evacuations = Pick<EvacuationView, 'has' | 'isKnown' | 'onChanged'>;

const NO_EVACUATIONS: Evacuations = {
  has: () => false,
  isKnown: true,
  onChanged: () => ({ dispose: () => undefined }),
};

/**
 * Time that servers have to register again after an outage of the store, in ms. The platform allows
 * about two seconds; a server that has not registered by then is removed.
 */
export const REREGISTRATION_PERIOD_MS = 2000;

/**
 * The registered backend servers.
 *
 * During an outage of the store, registrations expire although their servers are still running.
 * Removals received during an outage or shortly after it are therefore delayed, so that the servers
 * can register again. Removals at other times, and draining, take effect immediately.
 */
export class ServerDirectory {
  private readonly servers = new Map<string, BackendServer>();

  private readonly serversByAddress = new Map<string, BackendServer>();

  /** Results of {@link usable} since the last change of a registration. */
  private readonly usableByService = new Map<string, readonly BackendServer[]>();

  /** Time of each delayed removal, on the clock, by server id. */
  private readonly delayedRemovals = new Map<string, number>();

  private isStoreReachable = false;

  private storeReachableSince = -Infinity;

  private readonly removedEmitter = new Emitter<BackendServer>();

  private readonly changedEmitter = new Emitter<BackendServer>();

  /**
   * Fired with the previous registration when a server is removed or replaced, and when it restarts
   * and has thereby lost its state.
   */
  readonly onRemoved = this.removedEmitter.event;

  /** Fired with the current registration when a server registers or changes its registration. */
  readonly onChanged = this.changedEmitter.event;

  /**
   * @param clock - time source
   * @param departures - servers that leave; they are usable only within their grace time
   * @param isKnownService - whether a service may have servers; by default, each one may
   * @param evacuations - failure domains whose servers are not usable; none by default
   */
  constructor(
    private readonly clock: Clock,
    private readonly departures: ServerDepartures,
    private readonly isKnownService: (service: string) => boolean = () => true,
    private readonly evacuations = NO_EVACUATIONS,
  ) {
    departures.onChanged(() => this.usableByService.clear());
    departures.onEnded(() => this.usableByService.clear());
    evacuations.onChanged(() => this.usableByService.clear());
  }

  /** Called when a call to the store fails. */
  markStoreUnreachable(): void {
    this.isStoreReachable = false;
  }

  /** Called when the store answers. */
  markStoreReachable(): void {
    if (this.isStoreReachable) return;
    this.isStoreReachable = true;
    this.storeReachableSince = this.clock.now();
  }

  /**
   * Applies changed registrations.
   * @param registrations - changed registrations
   * @param isRestored - whether they may be older than the known ones
   */
  apply(registrations: readonly RegistrationChange[], isRestored = false): void {
    registrations.forEach(({ id, server }) => {
      if (server) this.register(server, isRestored);
      else this.scheduleRemoval(id);
    });
    this.applyDueRemovals();
  }

  /**
   * Applies the complete list of registrations; servers missing from the list are removed.
   * @param registrations - all registrations
   * @param isRestored - whether the store was restored from a copy since the known registrations:
   *   servers that registered after the copy have to do so again, and those that left are listed
   */
  replaceAll(registrations: readonly RegistrationChange[], isRestored = false): void {
    if (isRestored) this.storeReachableSince = this.clock.now();
    const listed = new Set(registrations.filter(({ server }) => server).map(({ id }) => id));
    const missing = [...this.servers.keys()].filter((id) => !listed.has(id));
    this.apply([...registrations, ...missing.map((id) => ({ id }))], isRestored);
  }

  /** Removes servers whose delayed removal is due. */
  applyDueRemovals(): void {
    if (!this.isStoreReachable) return;
    const now = this.clock.now();
    [...this.delayedRemovals]
      .filter(([, dueAt]) => now >= dueAt)
      .forEach(([id]) => this.remove(id));
  }

  /** @returns the server with the id; undefined if it is not registered */
  get(id: string): BackendServer | undefined {
    return this.servers.get(id);
  }

  /** @returns the server that registered with the address last; undefined if there is none */
  findByAddress(address: string): BackendServer | undefined {
    return this.serversByAddress.get(address);
  }

  /**
   * @param service - name of a service
   * @returns its servers outside of evacuated domains that stay; if there are none, those that leave
   *   and are in their grace time
   */
  usable(service: string): readonly BackendServer[] {
    const known = this.usableByService.get(service);
    if (known) return known;
    const registered = [...this.servers.values()].filter(
      (server) => server.service === service && !server.isDraining && !this.isEvacuated(server),
    );
    const staying = registered.filter((server) => !this.departures.has(server));
    const usable =
      staying.length > 0
        ? staying
        : registered.filter((server) => this.departures.isInGrace(server));
    // Only services with servers are kept, which bounds the map.
    if (usable.length > 0) this.usableByService.set(service, usable);
    return usable;
  }

  /** @returns whether the server must get no requests because its failure domain is evacuated */
  isEvacuated({ failureDomain }: BackendServer): boolean {
    return this.evacuations.has(failureDomain);
  }

  /** @returns whether a service has no usable server because of evacuations */
  isServiceEvacuated(service: string): boolean {
    if (!this.evacuations.isKnown || this.usable(service).length > 0) return false;
    return [...this.servers.values()].some(
      (server) => server.service === service && !server.isDraining && this.isEvacuated(server),
    );
  }

  /** @returns registered servers in a failure domain, including draining ones */
  inDomain(failureDomain: string): BackendServer[] {
    return [...this.servers.values()].filter((server) => server.failureDomain === failureDomain);
  }

  /** Number of registered servers, including draining ones. */
  get size(): number {
    return this.servers.size;
  }

  private register(server: BackendServer, isRestored: boolean): void {
    const previous = this.findByAddress(server.address);
    const isAddressTaken = previous !== undefined && previous.id !== server.id;
    // Another writer's row for a service that does not exist displaces no server.
    if (isAddressTaken && !this.isKnownService(server.service)) return;
    this.delayedRemovals.delete(server.id);
    const current = this.servers.get(server.id);
    if (isRestored && current && isEarlier(server, current)) {
      this.departures.recordReady(server, isRestored);
      return;
    }
    if (current && isRestart(current, server)) this.remove(server.id);
    if (server.isDraining) this.departures.recordRegistration(server);
    else this.departures.recordReady(server, isRestored);
    // Only one server can listen on an address: the one that registered last.
    if (isAddressTaken && isRestored && this.departures.has(server)) return;
    if (isAddressTaken) this.remove(previous.id);
    this.servers.set(server.id, server);
    this.serversByAddress.set(server.address, server);
    this.usableByService.clear();
    this.changedEmitter.fire(server);
  }

  private scheduleRemoval(id: string): void {
    if (!this.servers.has(id) || this.delayedRemovals.has(id)) return;
    const isPeriodOver = this.clock.now() >= this.storeReachableSince + REREGISTRATION_PERIOD_MS;
    if (this.isStoreReachable && isPeriodOver) {
      this.remove(id);
      return;
    }
    const periodStart = this.isStoreReachable ? this.storeReachableSince : this.clock.now();
    this.delayedRemovals.set(id, periodStart + REREGISTRATION_PERIOD_MS);
  }

  private remove(id: string): void {
    const server = this.servers.get(id);
    this.delayedRemovals.delete(id);
    this.servers.delete(id);
    if (!server) return;
    this.serversByAddress.delete(server.address);
    this.usableByService.clear();
    this.departures.recordRegistration(server);
    this.removedEmitter.fire(server);
  }
}

/** Whether a registration was written before another one of the same server. */
function isEarlier(left: BackendServer, right: BackendServer): boolean {
  if (left.startedAtMs !== right.startedAtMs) {
    return (left.startedAtMs ?? 0) < (right.startedAtMs ?? 0);
  }
  return (left.sequence ?? 0) < (right.sequence ?? 0);
}

/** Whether the server was restarted since its previous registration. */
function isRestart(previous: BackendServer, current: BackendServer): boolean {
  return previous.startedAtMs !== current.startedAtMs || previous.address !== current.address;
}
