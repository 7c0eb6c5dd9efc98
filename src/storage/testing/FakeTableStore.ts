import { MemoryTable } from '../MemoryTable.js';
import type { PlatformResult, Row, RowAddress, RowCheck, RowWrite, TableStore } from '../Types.js';

/** Fault that the fake table store injects into a call. */
export type TableFault = 'unavailable' | 'lost-before-commit' | 'lost-after-commit';

/** In-memory table store with faults injected by the test. */
export class FakeTableStore implements TableStore {
  readonly table = new MemoryTable();

  /** Returns the fault of each call; undefined, the default, means no fault. */
  chooseFault: (operation: 'read' | 'scan' | 'transaction') => TableFault | undefined = () =>
    undefined;

  async read(rows: readonly RowAddress[]): Promise<PlatformResult<Row[]>> {
    return this.query('read', () => rows.map((row) => this.table.read(row)));
  }

  async scan(range: {
    table: string;
    prefix: string;
    after?: string;
    limit: number;
  }): Promise<PlatformResult<Row[]>> {
    return this.query('scan', () => this.table.scan(range));
  }

  async transaction(request: {
    checks: readonly RowCheck[];
    writes: readonly RowWrite[];
  }): Promise<PlatformResult<Row[]>> {
    const fault = this.chooseFault('transaction');
    if (fault === 'unavailable') return unavailable();
    if (fault === 'lost-before-commit') return ambiguous();
    const result = this.table.transaction(request);
    return fault === 'lost-after-commit' ? ambiguous() : result;
  }

  private query(operation: 'read' | 'scan', answer: () => Row[]): PlatformResult<Row[]> {
    return this.chooseFault(operation) === undefined
      ? { ok: true, value: answer() }
      : unavailable();
  }
}

function unavailable<T>(): PlatformResult<T> {
  return { ok: false, error: { kind: 'unavailable', message: 'injected outage' } };
}

function ambiguous<T>(): PlatformResult<T> {
  return { ok: false, error: { kind: 'ambiguous', message: 'injected loss of the answer' } };
}
