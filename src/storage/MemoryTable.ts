import type { PlatformResult, Row, RowAddress, RowCheck, RowWrite } from './Types.js';

/** Rows of one table. */
interface TableRows {
  readonly rows: Map<string, Row>;
  /** Last version of deleted rows, so that a row that is made again has a new version. */
  readonly deletedVersions: Map<string, number>;
  /** Keys in order; undefined after a row was added or deleted, until the next scan. */
  sortedKeys: string[] | undefined;
}

/** Rows of a transactional table kept in memory: the core of the table stand-in and of test fakes. */
export class MemoryTable {
  private readonly tables = new Map<string, TableRows>();

  /**
   * @param address - row to read
   * @returns the row; version 0 and value null if absent
   */
  read(address: RowAddress): Row {
    const { table, key } = address;
    return this.tables.get(table)?.rows.get(key) ?? { table, key, version: 0, value: null };
  }

  /**
   * @param range - table, key prefix, key to start after, largest number of rows
   * @returns rows in key order
   */
  scan(range: { table: string; prefix: string; after?: string; limit: number }): Row[] {
    const { prefix, limit } = range;
    const content = this.tables.get(range.table);
    if (!content) return [];
    content.sortedKeys ??= [...content.rows.keys()].sort();
    const keys = content.sortedKeys;
    const after = range.after ?? '';
    const found: Row[] = [];
    let position = lowerBound(keys, after > prefix ? after : prefix);
    if (keys[position] === range.after) position += 1;
    for (; position < keys.length && found.length < limit; position += 1) {
      const key = keys[position]!;
      if (!key.startsWith(prefix)) break;
      found.push(content.rows.get(key)!);
    }
    return found;
  }

  /**
   * Applies all writes if all checks hold.
   * @param request - checks and writes
   * @returns the new rows, or a conflict with the first row that differs
   */
  transaction(request: {
    checks: readonly RowCheck[];
    writes: readonly RowWrite[];
  }): PlatformResult<Row[]> {
    const failing = request.checks.find((check) => this.read(check).version !== check.version);
    if (failing) return { ok: false, error: { kind: 'conflict', current: this.read(failing) } };
    return { ok: true, value: request.writes.map((write) => this.write(write)) };
  }

  private write(write: RowWrite): Row {
    const { table, key, value } = write;
    const content = this.contentOf(table);
    const current = content.rows.get(key)?.version;
    const version = (current ?? content.deletedVersions.get(key) ?? 0) + 1;
    const row = { table, key, value, version };
    if ((current === undefined) !== (value === null)) content.sortedKeys = undefined;
    if (value === null) {
      content.rows.delete(key);
      content.deletedVersions.set(key, version);
      return { ...row, version: 0 };
    }
    content.rows.set(key, row);
    content.deletedVersions.delete(key);
    return row;
  }

  private contentOf(table: string): TableRows {
    const content = this.tables.get(table) ?? {
      rows: new Map(),
      deletedVersions: new Map(),
      sortedKeys: undefined,
    };
    this.tables.set(table, content);
    return content;
  }
}

/** Index of the first key that is not below the bound. */
function lowerBound(keys: readonly string[], bound: string): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (keys[middle]! < bound) low = middle + 1;
    else high = middle;
  }
  return low;
}
