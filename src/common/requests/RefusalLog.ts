import type { Clock } from '../time/Types.js';

/** Interval between two log lines about the same address, in ms. */
const LOG_INTERVAL_MS = 60_000;

/** Most addresses that are remembered; of more, the ones that were logged first are forgotten. */
const MAX_ADDRESSES = 1000;

interface AddressRecord {
  loggedAt: number;
  counts: Record<string, number>;
}

/**
 * Decides when refusals of clients are logged: at once for an address, then one line a minute.
 *
 * Answers clients that are refused many times a second, whose log lines would displace all others.
 */
export class RefusalLog {
  private readonly records = new Map<string, AddressRecord>();

  /** @param clock - time source */
  constructor(private readonly clock: Clock) {}

  /** Number of addresses that are remembered. */
  get size(): number {
    return this.records.size;
  }

  /**
   * @param address - address of the client
   * @param reason - why it was refused
   * @returns number of refusals since the last line, by reason, if a line is due
   */
  record(address: string, reason: string): Readonly<Record<string, number>> | undefined {
    const now = this.clock.now();
    const known = this.records.get(address);
    const counts = { ...known?.counts, [reason]: (known?.counts[reason] ?? 0) + 1 };
    if (known && now - known.loggedAt < LOG_INTERVAL_MS) {
      known.counts = counts;
      return undefined;
    }
    this.records.delete(address);
    this.records.set(address, { loggedAt: now, counts: {} });
    const [oldest] = this.records.keys();
    if (this.records.size > MAX_ADDRESSES && oldest !== undefined) this.records.delete(oldest);
    return counts;
  }
}
