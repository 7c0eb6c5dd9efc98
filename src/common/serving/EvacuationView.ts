import { z } from 'zod';
import { Emitter } from '../events/Emitter.js';
import type { Clock } from '../time/Types.js';
import { isLaterPosition, StorePosition, UNKNOWN_POSITION } from './StorePosition.js';

/** Maximum number of evacuated domains. */
export const MAX_EVACUATED_DOMAINS = 100;

/** Maximum length of the name of a domain, in characters. */
export const MAX_DOMAIN_NAME_LENGTH = 200;

/**
 * Maximum size of all names as JSON, with quotes and commas, in bytes: heartbeats that do not fit in
 * one datagram are lost.
 */
const MAX_NAMES_BYTES = MAX_EVACUATED_DOMAINS * (MAX_DOMAIN_NAME_LENGTH + 3);

/** Maximum number of names that are remembered, in case rows before them are removed. */
const MAX_ROWS = 1000;

/**
 * Time for which a process that knows no evacuations waits for a peer that sends them after it has
 * heard of one that sends none, in ms: four heartbeats.
 */
const OLDER_PEER_WAIT_MS = 1000;

/** Evacuated failure domains as of a position of the store; sent to peers. */
export const EvacuationReport = z.object({
  position: StorePosition,
  domains: z.array(z.string().max(MAX_DOMAIN_NAME_LENGTH)).max(MAX_EVACUATED_DOMAINS),
});
export type EvacuationReport = z.infer<typeof EvacuationReport>;

/** A row of the store that evacuates a failure domain, or its removal. */
export interface EvacuationRow {
  readonly domain: string;
  /** Version of the last change of the row. */
  readonly version: number;
  readonly isRemoved: boolean;
}

/** A failure domain that was evacuated or lifted. */
export interface EvacuationChange {
  readonly domain: string;
  /** `store`, or the id of the peer that reported it. */
  readonly source: string;
}

/** Rows that have no effect. */
export interface IgnoredEvacuations {
  readonly reason: 'empty name' | 'name too long' | 'too many domains';
  readonly count: number;
  /** Name in one of the rows, cut to {@link MAX_DOMAIN_NAME_LENGTH}. */
  readonly example: string;
}

/**
 * Failure domains whose servers must get no more requests, by order of the operator.
 *
 * Handles evacuations that begin and end while the store responds to some processes only, processes
 * that start meanwhile, and restores of the store. The domains in force are those of the latest
 * position of the store that this process has read or that a peer has reported.
 */
export class EvacuationView {
  /** Version of each row, by domain, as this process has read them from the store. */
  private readonly rows = new Map<string, number>();

  /** Domains of {@link rows} that are in force if nothing later is known. */
  private storedDomains: readonly string[] = [];

  private position = UNKNOWN_POSITION;

  private domains: ReadonlySet<string> = new Set();

  private hasState = false;

  /** Time of the first heartbeat without a report, on the clock. */
  private olderPeerSince: number | undefined;

  private readonly evacuatedEmitter = new Emitter<EvacuationChange>();

  private readonly liftedEmitter = new Emitter<EvacuationChange>();

  private readonly changedEmitter = new Emitter<void>();

  private readonly ignoredEmitter = new Emitter<IgnoredEvacuations>();

  /** Fired when a domain is found to be evacuated. */
  readonly onEvacuated = this.evacuatedEmitter.event;

  /** Fired when the evacuation of a domain has ended, before {@link onChanged}. */
  readonly onLifted = this.liftedEmitter.event;

  /** Fired when {@link has} may return something else than before. */
  readonly onChanged = this.changedEmitter.event;

  /** Fired once for each read with rows that have no effect, and reason. */
  readonly onIgnored = this.ignoredEmitter.event;

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /** Whether the evacuations are known; before that, each domain counts as evacuated. */
  get isKnown(): boolean {
    return this.hasState;
  }

  /** Number of evacuated domains. */
  get count(): number {
    return this.domains.size;
  }

  /** What this process knows, for its peers; undefined before it knows anything. */
  get report(): EvacuationReport | undefined {
    if (this.position === UNKNOWN_POSITION) return undefined;
    return { position: this.position, domains: [...this.domains] };
  }

  /**
   * @param domain - name of a failure domain
   * @returns whether its servers must get no requests
   */
  has(domain: string): boolean {
    return !this.hasState || this.domains.has(domain);
  }

  /**
   * Applies all rows of the store.
   * @param rows - all rows that evacuate domains
   * @param position - position of the store that they belong to
   * @param isRestored - whether the store was restored since the previous read
   */
  replaceAll(rows: readonly EvacuationRow[], position: StorePosition, isRestored: boolean): void {
    // The versions of a store that names no eras may be lower after a restore.
    if (isRestored && position.era === this.position.era) this.position = UNKNOWN_POSITION;
    this.rows.clear();
    this.readRows(rows);
    this.applyStored(position);
  }

  /**
   * Applies changed rows of the store.
   * @param rows - rows that have changed since the previous read
   * @param position - position of the store after these changes
   */
  apply(rows: readonly EvacuationRow[], position: StorePosition): void {
    if (rows.length > 0) this.readRows(rows);
    this.applyStored(position);
  }

  /**
   * Applies what a peer knows if it is later than what this process knows.
   * @param report - report of the peer; undefined if it knows nothing or is of an older version
   * @param peerId - id of the peer
   */
  merge(report: EvacuationReport | undefined, peerId: string): void {
    if (report && isLaterPosition(report.position, this.position)) this.update(report, peerId);
    if (this.hasState || report) return;
    const now = this.clock.now();
    this.olderPeerSince ??= now;
    if (now - this.olderPeerSince < OLDER_PEER_WAIT_MS) return;
    this.hasState = true;
    this.changedEmitter.fire();
  }

  private applyStored(position: StorePosition): void {
    if (isLaterPosition(this.position, position)) return;
    this.update({ position, domains: [...this.storedDomains] }, 'store');
  }

  private update({ position, domains }: EvacuationReport, source: string): void {
    const previous = this.domains;
    const wasKnown = this.hasState;
    this.position = position;
    this.domains = new Set(domains);
    this.hasState = true;
    const evacuated = [...this.domains].filter((domain) => !previous.has(domain));
    const lifted = [...previous].filter((domain) => !this.domains.has(domain));
    evacuated.forEach((domain) => this.evacuatedEmitter.fire({ domain, source }));
    lifted.forEach((domain) => this.liftedEmitter.fire({ domain, source }));
    if (!wasKnown || evacuated.length > 0 || lifted.length > 0) this.changedEmitter.fire();
  }

  private readRows(rows: readonly EvacuationRow[]): void {
    const present = rows.filter(({ isRemoved }) => !isRemoved).map(({ domain }) => domain);
    const isTooLong = (domain: string) => domain.length > MAX_DOMAIN_NAME_LENGTH;
    rows.forEach(({ domain, version, isRemoved }) => {
      this.rows.delete(domain);
      const isValid = domain !== '' && !isTooLong(domain);
      if (!isRemoved && isValid && this.rows.size < MAX_ROWS) this.rows.set(domain, version);
    });
    this.storedDomains = firstDomains(this.rows);
    const selected = new Set(this.storedDomains);
    const known = new Set([...this.rows.keys(), ...present]);
    this.reportIgnored(
      'empty name',
      present.filter((domain) => domain === ''),
    );
    this.reportIgnored('name too long', present.filter(isTooLong));
    this.reportIgnored(
      'too many domains',
      [...known].filter((name) => name !== '' && !isTooLong(name) && !selected.has(name)),
    );
  }

  private reportIgnored(reason: IgnoredEvacuations['reason'], names: readonly string[]): void {
    const [first] = names;
    if (first === undefined) return;
    const example = first.slice(0, MAX_DOMAIN_NAME_LENGTH);
    this.ignoredEmitter.fire({ reason, count: names.length, example });
  }
}

/**
 * @param rows - version of each row, by domain
 * @returns the domains that may be in force together: the first ones by version, so that a later row
 *   displaces none
 */
function firstDomains(rows: ReadonlyMap<string, number>): string[] {
  const ordered = [...rows]
    .sort(([left, leftVersion], [right, rightVersion]) =>
      leftVersion === rightVersion ? compareNames(left, right) : leftVersion - rightVersion,
    )
    .map(([domain]) => domain);
  let bytes = 0;
  return ordered.slice(0, MAX_EVACUATED_DOMAINS).filter((domain) => {
    bytes += Buffer.byteLength(JSON.stringify(domain)) + 1;
    return bytes <= MAX_NAMES_BYTES;
  });
}

/** Compares by code unit: the order must not depend on the locale of the process. */
function compareNames(left: string, right: string): number {
  return left < right ? -1 : Number(left > right);
}
