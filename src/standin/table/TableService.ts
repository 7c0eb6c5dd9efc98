import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';
import { MemoryTable } from '../../storage/MemoryTable.js';
import type { Row } from '../../storage/Types.js';
import type { FaultState } from '../FaultState.js';
import type { Call } from '../http/Call.js';
import type { ServiceResponse, Counter, Route, Service } from '../Types.js';
import { RowHistory } from './RowHistory.js';

const RowAddressBody = z.object({ table: z.string(), key: z.string() });
const ReadBody = z.object({ rows: z.array(RowAddressBody) });
const ScanBody = z.object({
  table: z.string(),
  prefix: z.string(),
  after: z.string().optional(),
  limit: z.number().int().positive(),
});
const TransactionBody = z.object({
  checks: z.array(RowAddressBody.extend({ version: z.number().int().nonnegative() })),
  writes: z.array(
    RowAddressBody.extend({ value: z.unknown().transform((value) => value ?? null) }),
  ),
});

/** Options of {@link TableService}. */
export interface TableOptions {
  /** Service time of every call, in milliseconds; multiplied by the fault `slowFactor`. */
  readonly serviceMs: number;
}

/** Stand-in for the platform's transactional table service. */
export class TableService implements Service {
  readonly controlRoutes = {};

  private readonly table = new MemoryTable();

  private readonly history = new RowHistory();

  private readonly counts = { reads: 0, rowsRead: 0, scans: 0, transactions: 0, conflicts: 0 };

  private readonly routes: Readonly<Record<string, Route>> = {
    'POST /v1/read': this.createRoute(false, (call) => this.read(call)),
    'POST /v1/scan': this.createRoute(false, (call) => this.scan(call)),
    'POST /v1/transaction': this.createRoute(true, (call) => this.transaction(call)),
  };

  constructor(
    private readonly options: TableOptions,
    private readonly state: FaultState,
  ) {}

  route(method: string, path: string): Route | undefined {
    return this.routes[`${method} ${path}`];
  }

  counters(): Record<string, Counter> {
    return { ...this.counts };
  }

  runs(): [] {
    return [];
  }

  dispose(): void {
    this.history.dispose();
  }

  private createRoute(hasEffect: boolean, handle: (call: Call) => ServiceResponse): Route {
    return {
      hasEffect,
      handle: async (call) => {
        const serviceMs = this.options.serviceMs * this.state.faults.slowFactor;
        if (serviceMs > 0) await sleep(serviceMs);
        return handle(call);
      },
    };
  }

  private read(call: Call): ServiceResponse {
    const { rows } = call.parseBody(ReadBody);
    const { staleReadMs } = this.state.faults;
    this.counts.reads += 1;
    this.counts.rowsRead += rows.length;
    return {
      status: 200,
      body: { rows: rows.map((row) => this.history.pastState(this.table.read(row), staleReadMs)) },
    };
  }

  private scan(call: Call): ServiceResponse {
    const range = call.parseBody(ScanBody);
    const { staleReadMs } = this.state.faults;
    this.counts.scans += 1;
    return {
      status: 200,
      body: { rows: staleReadMs > 0 ? this.staleScan(range, staleReadMs) : this.table.scan(range) },
    };
  }

  /** Scans an earlier state of the table, which can contain rows that were deleted since. */
  private staleScan(range: z.infer<typeof ScanBody>, staleReadMs: number): Row[] {
    const present = this.table.scan({ ...range, limit: Infinity });
    const keys = new Set(present.map((row) => row.key));
    const deleted = this.history
      .changedRows(range.table)
      .filter((row) => !keys.has(row.key) && row.key.startsWith(range.prefix))
      .filter((row) => row.key > (range.after ?? ''))
      .map((row) => this.table.read(row));
    return [...present, ...deleted]
      .map((row) => this.history.pastState(row, staleReadMs))
      .filter((row) => row.version > 0)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .slice(0, range.limit);
  }

  private transaction(call: Call): ServiceResponse {
    const request = call.parseBody(TransactionBody);
    const previous = request.writes.map((write) => this.table.read(write));
    const result = this.table.transaction(request);
    this.counts.transactions += 1;
    if (result.ok) {
      previous.forEach((row) => this.history.record(row));
      return { status: 200, body: { rows: result.value } };
    }
    if (result.error.kind !== 'conflict')
      return { status: 503, body: { error: result.error.kind } };
    this.counts.conflicts += 1;
    return { status: 409, body: { error: 'conflict', current: result.error.current } };
  }
}
