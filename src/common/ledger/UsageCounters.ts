import type { LedgerDays, LedgerEntry } from '../protocol/Ledger.js';
import { addUsage } from '../protocol/Usage.js';

/**
 * Maximum number of entries per row. An entry with all days takes up to 850 bytes, so a row stays
 * below 64 KB.
 */
const ENTRIES_PER_PART = 75;

/** Entries of one month that are written as one row. */
export interface LedgerPart {
  /** `MONTH/NUMBER`, the suffix of the row key. */
  readonly name: string;
  readonly month: string;
  /** Increases by one with each addition to the part. */
  readonly sequence: number;
  readonly entries: readonly LedgerEntry[];
}

interface MutablePart {
  readonly name: string;
  readonly month: string;
  sequence: number;
  /** Highest sequence number known to be written. */
  writtenSequence: number;
  readonly entries: Map<string, LedgerEntry>;
}

/**
 * Cumulative usage counters of one incarnation of one writer. Counters are grouped by month into
 * parts of bounded size, so that a flush writes only the parts that changed. The parts of a writer
 * hold disjoint usage, so reports add them up.
 */
export class UsageCounters {
  private parts: MutablePart[] = [];

  private readonly partByKey = new Map<string, MutablePart>();

  private nextPartNumber = 0;

  /** Number of counters. */
  get size(): number {
    return this.partByKey.size;
  }

  /**
   * Adds usage to its counter.
   * @param delta - usage and attempts to add
   */
  add(delta: LedgerEntry): void {
    const key = counterKey(delta);
    const part = this.partByKey.get(key) ?? this.assignPart(delta.month, key);
    const known = part.entries.get(key);
    const next = known ? addEntries(known, delta) : { ...delta };
    part.entries.set(key, next);
    part.sequence += 1;
  }

  /** @returns parts with usage not known to be written; those least recently written first */
  unwritten(): LedgerPart[] {
    return this.parts
      .filter((part) => part.sequence > part.writtenSequence)
      .map(({ name, month, sequence, entries }) => ({
        name,
        month,
        sequence,
        entries: [...entries.values()],
      }));
  }

  /**
   * Records that a part was written.
   * @param name - name of the part
   * @param sequence - sequence number that was written
   */
  markWritten(name: string, sequence: number): void {
    const part = this.parts.find((candidate) => candidate.name === name);
    if (!part) return;
    part.writtenSequence = Math.max(part.writtenSequence, sequence);
    // Moves the part to the end, so that the flush after an interrupted one starts with the other
    // parts.
    this.parts = [...this.parts.filter((candidate) => candidate !== part), part];
  }

  /**
   * Deletes the parts of past months that are completely written. Later usage of these months is
   * added to new parts.
   * @param month - current month; earlier ones are deleted
   * @returns names of the deleted parts
   */
  deleteBefore(month: string): string[] {
    const past = this.parts.filter(
      (part) => part.month < month && part.writtenSequence >= part.sequence,
    );
    for (const part of past) {
      for (const key of part.entries.keys()) this.partByKey.delete(key);
    }
    this.parts = this.parts.filter((part) => !past.includes(part));
    return past.map((part) => part.name);
  }

  /** Assigns a counter to a part of the month that has room, or to a new one. */
  private assignPart(month: string, key: string): MutablePart {
    let part = this.parts.find(
      (candidate) => candidate.month === month && candidate.entries.size < ENTRIES_PER_PART,
    );
    if (!part) {
      part = {
        name: `${month}/${this.nextPartNumber}`,
        month,
        sequence: 0,
        writtenSequence: 0,
        entries: new Map(),
      };
      this.nextPartNumber += 1;
      this.parts.push(part);
    }
    this.partByKey.set(key, part);
    return part;
  }
}

/**
 * Adds two counters.
 * @param left - counter
 * @param right - counter of the same work
 * @returns sum, with the identifying fields of `left`
 */
export function addEntries(left: LedgerEntry, right: LedgerEntry): LedgerEntry {
  return {
    ...left,
    usage: addUsage(left.usage, right.usage),
    attempts: left.attempts + right.attempts,
    days: addDays(left.days ?? {}, right.days ?? {}),
  };
}

function addDays(left: LedgerDays, right: LedgerDays): LedgerDays {
  const sum = { ...left };
  for (const [day, [attempts, acceleratorMs]] of Object.entries(right)) {
    const [knownAttempts, knownMs] = sum[day] ?? [0, 0];
    sum[day] = [knownAttempts + attempts, knownMs + acceleratorMs];
  }
  return sum;
}

/**
 * Returns the calendar month of a point in time.
 * @param wallTimeMs - wall-clock milliseconds since 1970-01-01 UTC
 * @returns calendar month in UTC, `YYYY-MM`
 */
export function monthOf(wallTimeMs: number): string {
  return new Date(wallTimeMs).toISOString().slice(0, 7);
}

function counterKey(entry: LedgerEntry): string {
  const { agentId, agentIncarnation, month, account, template, stage } = entry;
  return [agentId, agentIncarnation, month, account, template, stage, entry.class].join('\u0000');
}
