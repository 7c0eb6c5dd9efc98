import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/** Servers that a process knows to leave, by id; sent to its peers. */
export const ServerDepartureReports = z.record(
  z.string(),
  z.object({
    source: z.enum(['response', 'registration']),
    /** Start of the server's process, in Unix ms; null if unknown. */
    startedAtMs: z.number().nullable(),
    /** Number of the last registration that does not count; null if none is known. */
    sequence: z.number().nullable(),
    /** Time since the process learned of it first, in ms. */
    ageMs: z.number().min(0),
    /** Time until the departure is doubtful, in ms; null if it is certain. */
    forMs: z.number().min(0).nullable(),
  }),
);
export type ServerDepartureReports = z.infer<typeof ServerDepartureReports>;

/**
 * How it was learned that a server leaves. `response`: the server said it. `registration`: its
 * registration was draining or removed.
 */
export type DepartureSource = ServerDepartureReports[string]['source'];

/** A server that leaves. */
export interface ServerDeparture {
  readonly server: string;
  readonly source: DepartureSource;
  /** Whether this process learned it by itself and not from a peer. */
  readonly isOwn: boolean;
}

interface Departure {
  readonly startedAtMs: number | undefined;
  readonly sequence: number | undefined;
  readonly source: DepartureSource;
  isOwn: boolean;
  /** Whether it cannot be that the server stays. */
  readonly isCertain: boolean;
  /** Time at which it was known first, on the clock, in ms. */
  readonly since: number;
  /** Time at which it was confirmed last, on the clock, in ms. */
  confirmedAt: number;
  /** Time from which on the departure no longer holds, on the clock, in ms. */
  until: number;
  /** Whether the store has shown that the server leaves, so that peers know of the departure. */
  isInStore: boolean;
  /** Whether the store shows the server as ready again, so that peers may not know of the departure. */
  isContradicted: boolean;
}

/** Maximum number of departures that are remembered; the oldest go first. */
const MAX_DEPARTURES = 1000;

/** Time after the last confirmation for which a departure is sent to the peers, in ms. */
const REPORT_MS = 60_000;

/** Maximum number of departures in one heartbeat, so that it fits in a few packets. */
const MAX_REPORTS = 32;

/** Bounds of {@link ServerDepartures}. */
export interface DepartureBounds {
  /**
   * Time for which a server that has said that it leaves still takes requests if there is no other
   * server, in ms.
   */
  readonly graceMs: number;
  /** Time in which the store removes a registration that its server no longer renews, in ms. */
  readonly registrationLifetimeMs: number;
}

/**
 * Servers that leave, by what they say in responses and by their registrations.
 *
 * A departure holds for the incarnation of the server, also while the store is silent, after its
 * registration was removed and after the store was restored from a copy that shows the server as
 * ready. Handles releases, in which many servers leave one after the other.
 */
export class ServerDepartures {
  private readonly departures = new Map<string, Departure>();

  private readonly changedEmitter = new Emitter<ServerDeparture>();

  /** Fired when a server is found to leave. */
  readonly onChanged = this.changedEmitter.event;

  private readonly endedEmitter = new Emitter<string>();

  /** Fired with the id of a server when its departure or its grace time has ended. */
  readonly onEnded = this.endedEmitter.event;

  private lastCheckAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: DepartureBounds,
  ) {}

  /** Number of departures that are remembered, also of servers that have ended by now. */
  get count(): number {
    return this.departures.size;
  }

  /** What this process knows, for its peers. */
  get reports(): ServerDepartureReports {
    const now = this.clock.now();
    const own = [...this.departures].filter(
      ([, { isOwn, isInStore, isContradicted, confirmedAt, until }]) =>
        isOwn && (!isInStore || isContradicted) && now - confirmedAt < REPORT_MS && now < until,
    );
    return Object.fromEntries(
      own.slice(-MAX_REPORTS).map(([server, { source, startedAtMs, sequence, since, until }]) => [
        server,
        {
          source,
          startedAtMs: startedAtMs ?? null,
          sequence: sequence ?? null,
          ageMs: now - since,
          forMs: until === Infinity ? null : until - now,
        },
      ]),
    );
  }

  /** @returns whether the server leaves */
  has(server: BackendServer): boolean {
    const departure = this.departureOf(server);
    return departure !== undefined && this.clock.now() < departure.until;
  }

  /** @returns whether a server that leaves still takes requests if there is no other one */
  isInGrace(server: BackendServer): boolean {
    const departure = this.departureOf(server);
    if (!departure || departure.source === 'registration') return false;
    return this.clock.now() - departure.since < this.bounds.graceMs;
  }

  /** Records that a server has said in a response that it leaves. */
  recordResponse(server: BackendServer): void {
    const now = this.clock.now();
    const known = this.departureOf(server);
    if (known?.source === 'response') {
      known.confirmedAt = now;
      known.isOwn = true;
      return;
    }
    this.add(server, { source: 'response', isOwn: true, isCertain: true, since: now });
  }

  /**
   * Records that the registration of a server is draining or was removed.
   * @param server - last registration
   */
  recordRegistration(server: BackendServer): void {
    const known = this.departureOf(server);
    if (known) known.isInStore = true;
    // What the server itself said also holds if the same incarnation registers again.
    if (known?.source === 'response' && server.startedAtMs !== undefined) return;
    const { isDraining: isCertain } = server;
    this.add(server, { source: 'registration', isOwn: true, isCertain, since: this.clock.now() });
  }

  /**
   * Records that the server registered. A departure that was only seen in its registration ends.
   * @param server - new registration, which is not draining
   * @param isRestored - whether it may be older than the known one
   */
  recordReady(server: BackendServer, isRestored: boolean): void {
    const departure = this.departureOf(server);
    if (!departure) return;
    const now = this.clock.now();
    if (isRestored) {
      departure.isContradicted = true;
      departure.confirmedAt = now;
      // The store removes the registration of a server that has left; one that stays was renewed.
      if (!departure.isCertain) departure.until = now + this.bounds.registrationLifetimeMs;
    } else if (departure.source === 'registration') this.departures.delete(server.id);
  }

  /** Adds what a peer knows. */
  merge(reports: ServerDepartureReports): void {
    const now = this.clock.now();
    Object.entries(reports).forEach(([id, { source, sequence, ageMs, forMs, ...report }]) => {
      const startedAtMs = report.startedAtMs ?? undefined;
      const known = this.departures.get(id);
      // A later incarnation has no part in the departure of an earlier one.
      if (known && (known.startedAtMs ?? 0) > (startedAtMs ?? 0)) return;
      const isSame = known?.startedAtMs === startedAtMs && known?.source === source;
      // What a server said itself is worth more than its registration.
      const isSaid = known?.startedAtMs === startedAtMs && known?.source === 'response';
      if (isSaid || (known?.isOwn && isSame)) return;
      const until = forMs === null ? Infinity : now + forMs;
      if (known && isSame) {
        known.until = until;
        return;
      }
      const details = {
        source,
        isOwn: false,
        isCertain: forMs === null,
        since: now - ageMs,
        until,
      };
      this.add({ id, startedAtMs, sequence: sequence ?? undefined }, details);
    });
  }

  /** Fires {@link onEnded} for departures and grace times that have ended since the last check. */
  check(): void {
    const now = this.clock.now();
    const hasEnded = (at: number) => at > this.lastCheckAt && at <= now;
    const ended = [...this.departures].filter(
      ([, { source, since, until }]) =>
        hasEnded(until) || (source === 'response' && hasEnded(since + this.bounds.graceMs)),
    );
    this.lastCheckAt = now;
    ended.forEach(([id]) => this.endedEmitter.fire(id));
  }

  private departureOf({ id, startedAtMs, sequence }: BackendServer): Departure | undefined {
    const departure = this.departures.get(id);
    if (departure?.startedAtMs !== startedAtMs) return undefined;
    const isRenewed =
      departure?.source !== 'response' && (sequence ?? 0) > (departure?.sequence ?? Infinity);
    return isRenewed ? undefined : departure;
  }

  private add(
    registration: { id: string; startedAtMs?: number | undefined; sequence?: number | undefined },
    details: Pick<Departure, 'source' | 'isOwn' | 'isCertain' | 'since'> & { until?: number },
  ): void {
    const { id, startedAtMs, sequence } = registration;
    const { source, isOwn } = details;
    const known = this.departures.get(id);
    const isNew = known?.startedAtMs !== startedAtMs || known?.source !== source;
    this.departures.delete(id);
    this.departures.set(id, {
      startedAtMs,
      sequence,
      until: Infinity,
      confirmedAt: this.clock.now(),
      isInStore: source === 'registration',
      isContradicted: false,
      ...details,
    });
    if (this.departures.size > MAX_DEPARTURES) {
      this.departures.delete(this.departures.keys().next().value!);
    }
    if (isNew || !known) this.changedEmitter.fire({ server: id, source, isOwn });
  }
}
