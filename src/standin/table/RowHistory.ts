import { performance } from 'node:perf_hooks';
import type { Row } from '../../storage/Types.js';

/** Age of the oldest state that stale reads can return. */
const HISTORY_MS = 30_000;
const PRUNE_INTERVAL_MS = 5000;

interface Change {
  readonly at: number;
  /** Row before the change. */
  readonly previous: Row;
}

/** Earlier states of recently changed rows, returned by stale reads. */
export class RowHistory {
  private readonly changes = new Map<string, Change[]>();

  private readonly timer = setInterval(() => this.prune(), PRUNE_INTERVAL_MS);

  /**
   * Records a change.
   * @param previous - row before the change
   */
  record(previous: Row): void {
    const key = keyOf(previous);
    const change = { at: performance.now(), previous };
    const changes = this.changes.get(key);
    if (changes) changes.push(change);
    else this.changes.set(key, [change]);
  }

  /**
   * Returns an earlier state of a row.
   * @param row - current row
   * @param ageMs - age of the state, in milliseconds, at most 30,000
   * @returns the row as of that time
   */
  pastState(row: Row, ageMs: number): Row {
    if (ageMs <= 0) return row;
    const at = performance.now() - ageMs;
    const firstAfter = this.changes.get(keyOf(row))?.find((change) => change.at > at);
    return firstAfter?.previous ?? row;
  }

  /**
   * Lists the recently changed rows of a table.
   * @param table - name of the table
   * @returns the oldest state retained of each row
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
