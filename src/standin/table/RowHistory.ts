import { performance } from 'node:perf_hooks';
import type { Row } from '../../storage/Types.js';

/** Longest staleness that can be shown, in milliseconds. */
const HISTORY_MS = 30_000;
const PRUNE_INTERVAL_MS = 5000;

interface Change {
  readonly at: number;
  /** The row before the change. */
  readonly previous: Row;
}

/** Earlier states of recently changed rows, for stale reads. */
export class RowHistory {
  private readonly changes = new Map<string, Change[]>();

  private readonly timer = setInterval(() => this.prune(), PRUNE_INTERVAL_MS);

  /** @param previous - the row before a change that takes place now */
  record(previous: Row): void {
    const key = keyOf(previous);
    const change = { at: performance.now(), previous };
    const changes = this.changes.get(key);
    if (changes) changes.push(change);
    else this.changes.set(key, [change]);
  }

  /**
   * @param row - the row as it is now
   * @param ageMs - age of the wanted state, in milliseconds, at most 30,000
   * @returns the row as it was this long ago
   */
  past(row: Row, ageMs: number): Row {
    if (ageMs <= 0) return row;
    const at = performance.now() - ageMs;
    const firstAfter = this.changes.get(keyOf(row))?.find((change) => change.at > at);
    return firstAfter?.previous ?? row;
  }

  /**
   * @param table - table name
   * @returns an earlier state of each recently changed row of the table
   */
  changedRows(table: string): Row[] {
    return [...this.changes.values()]
      .flatMap((changes) => changes.slice(0, 1))
      .map((change) => change.previous)
      .filter((row) => row.table === table);
  }

  dispose(): void {
    clearInterval(this.timer);
  }

  private prune(): void {
    const oldest = performance.now() - HISTORY_MS;
    this.changes.forEach((changes, key) => {
      const kept = changes.filter((change) => change.at > oldest);
      if (kept.length === 0) this.changes.delete(key);
      else if (kept.length < changes.length) this.changes.set(key, kept);
    });
  }
}

function keyOf(row: Row): string {
  return `${row.table}\u0000${row.key}`;
}
