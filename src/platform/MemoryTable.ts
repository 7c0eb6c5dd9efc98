import type { PlatformResult, Row, RowAddress, RowCheck, RowWrite } from './Types.js';

/** Rows of a transactional table kept in memory: the core of the table stand-in and of test fakes. */
export class MemoryTable {
  private readonly rows = new Map<string, Row>();

  private static addressText(address: RowAddress): string {
    return `${address.table}\u0000${address.key}`;
  }

  /**
   * @param address - row to read
   * @returns the row; version 0 and value null if absent
   */
  read(address: RowAddress): Row {
    const { table, key } = address;
    return (
      this.rows.get(MemoryTable.addressText(address)) ?? { table, key, version: 0, value: null }
    );
  }

  /**
   * @param range - table, key prefix, key to start after, largest number of rows
   * @returns rows in key order
   */
  scan(range: { table: string; prefix: string; after?: string; limit: number }): Row[] {
    const after = range.after ?? '';
    return [...this.rows.values()]
      .filter((row) => row.table === range.table && row.key.startsWith(range.prefix))
      .filter((row) => row.key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, range.limit);
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
    const row = { table, key, value, version: this.read(write).version + 1 };
    if (value === null) {
      this.rows.delete(MemoryTable.addressText(write));
      return { ...row, version: 0 };
    }
    this.rows.set(MemoryTable.addressText(write), row);
    return row;
  }
}
