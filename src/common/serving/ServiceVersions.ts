import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import type { BackendServer } from './ServingConfiguration.js';

/**
 * Most services in a report, and versions of one, so that it fits in a heartbeat. More versions than two
 * make no difference.
 */
const MAX_SERVICES = 64;
const MAX_VERSIONS = 4;

/** Stands for the unknown versions of servers that name none, which may differ from each other. */
const NO_VERSION = '';

/** Software versions at which a process may have begun streams that can still be taken up, by service. */
export const VersionReport = z.record(
  z.string().max(200),
  z.array(z.string().max(64)).max(MAX_VERSIONS),
);
export type VersionReport = z.infer<typeof VersionReport>;

/** Time until which versions count, on the clock, in ms, by service and version. */
type CountedVersions = Map<string, Map<string, number>>;

/**
 * Knows which software versions of a service may have begun the streams that callers take up.
 *
 * Answers the usual case of a single version without any record of single streams: a stream of which
 * nothing is known began at that version. It counts only if all processes could have begun streams at
 * no other one, also those that ended a moment ago.
 */
export class ServiceVersions {
  /** Registered servers, by id. */
  private readonly servers = new Map<string, { service: string; version: string }>();

  /** Versions of this process that have no server any more. */
  private readonly departed: CountedVersions = new Map();

  /** Versions of the other processes. */
  private readonly reported: CountedVersions = new Map();

  private readonly changedEmitter = new Emitter<void>();

  /** Fired when {@link own} has changed. */
  readonly onChanged = this.changedEmitter.event;

  private current: VersionReport = {};

  /** Time until which reports of processes may be missing, on the clock, in ms. */
  private incompleteUntil: number;

  /**
   * @param clock - time source
   * @param lifetimeMs - returns the longest time from the begin of a stream until it is taken up, in ms
   */
  constructor(
    private readonly clock: Clock,
    private readonly lifetimeMs: () => number,
  ) {
    this.incompleteUntil = clock.now() + lifetimeMs();
  }

  /** Records the registration of a server. */
  recordServer({ id, service, version = NO_VERSION }: BackendServer): void {
    const known = this.servers.get(id);
    if (known && (known.service !== service || known.version !== version)) this.removeServer(id);
    this.servers.set(id, { service, version });
    this.check();
  }

  /** Records that a server is no longer registered. */
  removeServer(id: string): void {
    const known = this.servers.get(id);
    this.servers.delete(id);
    if (!known) return;
    this.count(this.departed, { [known.service]: [known.version] });
    this.check();
  }

  /** Records the versions of an earlier life of this process. */
  recordEarlierLife(versions: VersionReport): void {
    this.count(this.departed, versions);
    this.check();
  }

  /** Versions at which this process may have begun streams that can still be taken up. */
  get own(): VersionReport {
    return this.current;
  }

  /** Forgets versions that no longer count. Called several times a second, and after each change. */
  check(): void {
    this.removeEnded();
    const updated = this.createReport();
    if (JSON.stringify(updated) === JSON.stringify(this.current)) return;
    this.current = updated;
    this.changedEmitter.fire();
  }

  /** Whether this process may have begun streams at several versions of a service. */
  get hasSeveral(): boolean {
    return Object.values(this.own).some((versions) => versions.length > 1);
  }

  /** The part of {@link own} with several versions. */
  get several(): VersionReport {
    return Object.fromEntries(Object.entries(this.own).filter(([, { length }]) => length > 1));
  }

  /** Records the versions of another process, which may have ended since. */
  recordReport(versions: VersionReport): void {
    this.count(this.reported, versions);
  }

  /**
   * Records that the reports of all processes were read.
   * @param areCurrent - whether each one is what the process told last; false after a restore of the
   *   store, which may have lost what it told since the copy
   */
  recordAllRead(areCurrent: boolean): void {
    if (areCurrent) this.incompleteUntil = Math.min(this.incompleteUntil, this.clock.now());
    else if (!this.areReportsComplete) this.markIncomplete();
  }

  /** Records that reports may be missing until no stream from before can be taken up. */
  markIncomplete(): void {
    this.incompleteUntil = this.clock.now() + this.lifetimeMs();
  }

  /** @returns the only version that may have begun streams of the service; undefined if not one */
  only(service: string): string | undefined {
    if (!this.areReportsComplete) return undefined;
    this.removeEnded();
    const own = Object.hasOwn(this.own, service) ? this.own[service]! : [];
    const versions = new Set([...own, ...(this.reported.get(service)?.keys() ?? [])]);
    const [first] = versions;
    return versions.size === 1 && first !== NO_VERSION ? first : undefined;
  }

  private createReport(): VersionReport {
    const sets = new Map<string, Set<string>>();
    const add = (service: string, version: string) => {
      const set = sets.get(service) ?? new Set();
      if (sets.size < MAX_SERVICES || sets.has(service)) sets.set(service, set);
      set.add(version);
    };
    this.servers.forEach(({ service, version }) => add(service, version));
    this.departed.forEach((versions, service) =>
      versions.forEach((_, version) => add(service, version)),
    );
    return Object.fromEntries(
      [...sets]
        .sort(([left], [right]) => (left < right ? -1 : 1))
        .map(([service, set]) => [service, [...set].sort().slice(0, MAX_VERSIONS)]),
    );
  }

  private get areReportsComplete(): boolean {
    return this.clock.now() >= this.incompleteUntil;
  }

  private removeEnded(): void {
    const now = this.clock.now();
    [this.departed, this.reported].forEach((counted) =>
      counted.forEach((versions, service) => {
        versions.forEach((countsUntil, version) => countsUntil <= now && versions.delete(version));
        if (versions.size === 0) counted.delete(service);
      }),
    );
  }

  private count(counted: CountedVersions, report: VersionReport): void {
    const countsUntil = this.clock.now() + this.lifetimeMs();
    Object.entries(report).forEach(([service, names]) => {
      const versions = counted.get(service) ?? new Map<string, number>();
      if (counted.size >= MAX_SERVICES && !counted.has(service)) return;
      counted.set(service, versions);
      names.forEach((version) => {
        // Which further ones there are makes no difference.
        if (versions.size < MAX_VERSIONS || versions.has(version))
          versions.set(version, countsUntil);
      });
    });
  }
}
