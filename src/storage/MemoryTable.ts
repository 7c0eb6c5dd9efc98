import type { PlatformResult, Row, RowAddress, RowCheck, RowWrite } from './Types.js';

/** Contents of one table. */
interface TableRows {
  readonly rows: Map<string, Row>;
  /** Last versions of deleted rows, so that a recreated row gets a higher version. */
  readonly deletedVersions: Map<string, number>;
  /** Cached sorted keys; undefined from the insertion or deletion of a row until the next scan. */
  sortedKeys: string[] | undefined;
}

/** In-memory transactional tables: the core of the table stand-in and of test fakes. */
export class MemoryTable {
  private readonly tables = new Map<string, TableRows>();

  /**
   * Reads a row.
   * @param address - row to read
   * @returns the row; version 0 and value null if absent
   */
  read(address: RowAddress): Row {
    const { table, key } = address;
    return this.tables.get(table)?.rows.get(key) ?? { table, key, version: 0, value: null };
  }

  /**
   * Reads rows by key prefix.
   * @param range - table, key prefix, key to start after, maximum number of rows
   * @returns rows in key order
   */
  scan(range: { table: string; prefix: string; after?: string; limit: number }): Row[] {
    const { prefix, limit } = range;
    const tableRows = this.tables.get(range.table);
    if (!tableRows) return [];
    tableRows.sortedKeys ??= [...tableRows.rows.keys()].sort();
    const keys = tableRows.sortedKeys;
    const after = range.after ?? '';
    const found: Row[] = [];
    let position = lowerBound(keys, after > prefix ? after : prefix);
    if (keys[position] === range.after) position += 1;
    for (; position < keys.length && found.length < limit; position += 1) {
      const key = keys[position]!;
      if (!key.startsWith(prefix)) break;
      found.push(tableRows.rows.get(key)!);
    }
    return found;
  }

  /**
   * Applies all writes if all checks hold.
   * @param request - checks and writes
   * @returns the new rows, or a conflict with the first row whose version differs
   */
  transaction(request: {
    checks: readonly RowCheck[];
    writes: readonly RowWrite[];
  }): PlatformResult<Row[]> {
    const failedCheck = request.checks.find((check) => this.read(check).version !== check.version);
    if (failedCheck)
      return { ok: false, error: { kind: 'conflict', current: this.read(failedCheck) } };
    return { ok: true, value: request.writes.map((write) => this.write(write)) };
  }

  private write(write: RowWrite): Row {
    const { table, key, value } = write;
    const tableRows = this.getOrCreateTable(table);
    const current = tableRows.rows.get(key)?.version;
    const version = (current ?? tableRows.deletedVersions.get(key) ?? 0) + 1;
    const row = { table, key, value, version };
    if ((current === undefined) !== (value === null)) tableRows.sortedKeys = undefined;
    if (value === null) {
      tableRows.rows.delete(key);
      tableRows.deletedVersions.set(key, version);
      return { ...row, version: 0 };
    }
    tableRows.rows.set(key, row);
    tableRows.deletedVersions.delete(key);
    return row;
  }

  private getOrCreateTable(table: string): TableRows {
    const tableRows = this.tables.get(table) ?? {
      rows: new Map(),
      deletedVersions: new Map(),
      sortedKeys: undefined,
    };
    this.tables.set(table, tableRows);
    return tableRows;
  }
}

/** @returns index of the first key that is not below the bound */
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
