import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** A change of one registration. A missing server means that the row was removed or is malformed. */
export interface Registration {
  readonly id: string;
  readonly server?: BackendServer;
}

/**
 * Time in which registrations that lapsed during an outage of the store come back, in ms. The
 * platform gives about two seconds; a server that is missing after that is gone.
 */
export const REREGISTRATION_MS = 2000;

/**
 * Backend servers that may get work.
 *
 * Answers this load pattern: registrations lapse while the store is away though their servers live.
 * Removals that are learned during an outage or shortly after it wait for the servers to register
 * again. Removals at other times, and drains, hold at once.
 */
export class ServerDirectory {
  private readonly servers = new Map<string, BackendServer>();

  private readonly removals = new Map<string, number>();

  private isStoreReachable = false;

  private regainedAt = -Infinity;

  private readonly removedEmitter = new Emitter<BackendServer>();

  private readonly changedEmitter = new Emitter<BackendServer>();

  /** Fires with a server that left, or that started again and knows nothing of before. */
  readonly onRemoved = this.removedEmitter.event;

  /** Fires with a server that is new or whose registration changed. */
  readonly onChanged = this.changedEmitter.event;

  constructor(private readonly clock: Clock) {}

  /** Notes that a call of the store failed. */
  markStoreLost(): void {
    this.isStoreReachable = false;
  }

  /** Notes that the store answers. */
  markStoreReachable(): void {
    if (this.isStoreReachable) return;
    this.isStoreReachable = true;
    this.regainedAt = this.clock.now();
  }

  /** Applies changed registrations. */
  apply(registrations: readonly Registration[]): void {
    registrations.forEach(({ id, server }) => {
      if (server) this.put(server);
      else this.scheduleRemoval(id);
    });
    this.expire();
  }

  /** Applies a complete list; servers that are not on it were removed. */
  replaceAll(registrations: readonly Registration[]): void {
    const listed = new Set(registrations.filter(({ server }) => server).map(({ id }) => id));
    const missing = [...this.servers.keys()].filter((id) => !listed.has(id));
    this.apply([...registrations, ...missing.map((id) => ({ id }))]);
  }

  /** Removes servers whose time to register again is over. */
  expire(): void {
    if (!this.isStoreReachable) return;
    const now = this.clock.now();
    [...this.removals].filter(([, dueAt]) => now >= dueAt).forEach(([id]) => this.remove(id));
  }

  get(id: string): BackendServer | undefined {
    return this.servers.get(id);
  }

  /** @returns the server that registered the address last */
  atAddress(address: string): BackendServer | undefined {
    return [...this.servers.values()].reverse().find((server) => server.address === address);
  }

  /** @returns servers of the service that may get new work */
  usable(service: string): BackendServer[] {
    return [...this.servers.values()].filter(
      (server) => server.service === service && !server.isDraining,
    );
  }

  get size(): number {
    return this.servers.size;
  }

  private put(server: BackendServer): void {
    this.removals.delete(server.id);
    const known = this.servers.get(server.id);
    if (known && isRestart(known, server)) this.remove(server.id);
    const previous = this.atAddress(server.address);
    // An address belongs to the server that registered it last.
    if (previous && previous.id !== server.id) this.remove(previous.id);
    this.servers.set(server.id, server);
    this.changedEmitter.fire(server);
  }

  private scheduleRemoval(id: string): void {
    if (!this.servers.has(id) || this.removals.has(id)) return;
    const isSettled = this.clock.now() >= this.regainedAt + REREGISTRATION_MS;
    if (this.isStoreReachable && isSettled) {
      this.remove(id);
      return;
    }
    const from = this.isStoreReachable ? this.regainedAt : this.clock.now();
    this.removals.set(id, from + REREGISTRATION_MS);
  }

  private remove(id: string): void {
    const server = this.servers.get(id);
    this.removals.delete(id);
    this.servers.delete(id);
    if (server) this.removedEmitter.fire(server);
  }
}

function isRestart(known: BackendServer, server: BackendServer): boolean {
  return known.startedAtMs !== server.startedAtMs || known.address !== server.address;
}
