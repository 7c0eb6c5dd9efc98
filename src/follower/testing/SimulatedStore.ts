import type { RandomSource } from '../../common/time/Types.js';
import { MemoryTable } from '../../storage/MemoryTable.js';
import type {
  PlatformResult,
  Row,
  RowAddress,
  RowCheck,
  RowWrite,
  TableStore,
} from '../../storage/Types.js';
import type { SimulatedProcess, SimulatedTime } from './SimulatedTime.js';

const MAX_NETWORK_DELAY_MS = 20;
/** Longest delay of a late commit; a request may arrive after the time-out of its call. */
const MAX_LATE_COMMIT_MS = 3000;

/** Injected faults, which the test changes while simulated time passes. */
export interface StoreFaults {
  /** End of the outage on the simulated clock, in ms; calls before it fail as unavailable. */
  downUntilMs: number;
  /** Share of transactions whose answer is lost. Half of them are committed, half of these late. */
  lostShare: number;
  /** Age of the state that reads and scans return, in ms. */
  staleMs: number;
}

/** Table service in simulated time with outages, lost answers, late writes and stale reads. */
export class SimulatedStore {
  readonly table = new MemoryTable();

  readonly faults: StoreFaults = { downUntilMs: 0, lostShare: 0, staleMs: 0 };

  /** Snapshots of the table after each transaction, oldest first. */
  private readonly snapshots = [{ atMs: 0, table: new MemoryTable() }];

  private readonly storeProcess: SimulatedProcess = { pausedUntilMs: 0 };

  constructor(
    private readonly time: SimulatedTime,
    private readonly random: RandomSource,
  ) {}

  /**
   * Creates a client of the store.
   * @param process - process that makes the calls
   * @param isCutOff - whether the process cannot reach the store now
   * @returns client for this process
   */
  clientOf(process: SimulatedProcess, isCutOff: () => boolean): TableStore {
    const query = (read: (table: MemoryTable) => Row[], timeoutMs: number) =>
      this.call<Row[]>(process, timeoutMs, (answer) => {
        if (this.faults.downUntilMs > this.time.now() || isCutOff()) answer(unavailable());
        else answer({ ok: true, value: read(this.tableAt(this.time.now() - this.faults.staleMs)) });
      });
    return {
      read: (rows: readonly RowAddress[], { timeoutMs }) =>
        query((table) => rows.map((row) => table.read(row)), timeoutMs),
      scan: (range, { timeoutMs }) => query((table) => table.scan(range), timeoutMs),
      transaction: (request, { timeoutMs }) =>
        this.call<Row[]>(process, timeoutMs, (answer) => {
          if (this.faults.downUntilMs > this.time.now() || isCutOff()) answer(unavailable());
          else if (this.random.next() >= this.faults.lostShare) answer(this.commit(request));
          else this.loseAnswer(request);
        }),
    };
  }

  private loseAnswer(request: { checks: readonly RowCheck[]; writes: readonly RowWrite[] }): void {
    if (this.random.next() < 0.5) return;
    const delayMs = this.random.next() < 0.5 ? 0 : this.random.next() * MAX_LATE_COMMIT_MS;
    this.time.timersOf(this.storeProcess).after(delayMs, () => this.commit(request));
  }

  private commit(request: {
    checks: readonly RowCheck[];
    writes: readonly RowWrite[];
  }): PlatformResult<Row[]> {
    const result = this.table.transaction(request);
    if (!result.ok) return result;
    const copy = new MemoryTable();
    for (const row of this.table.scan({ table: 'configuration', prefix: '', limit: 1e6 })) {
      for (let version = 0; version < row.version; version += 1) {
        copy.transaction({ checks: [], writes: [row] });
      }
    }
    this.snapshots.push({ atMs: this.time.now(), table: copy });
    return result;
  }

  private tableAt(atMs: number): MemoryTable {
    return (
      this.snapshots.findLast((state) => state.atMs <= atMs)?.table ?? this.snapshots[0]!.table
    );
  }

  /** Sends a request and waits for its answer or the time-out. */
  private call<T>(
    process: SimulatedProcess,
    timeoutMs: number,
    handle: (answer: (result: PlatformResult<T>) => void) => void,
  ): Promise<PlatformResult<T>> {
    return new Promise((resolve) => {
      const callerTimers = this.time.timersOf(process);
      callerTimers.after(timeoutMs, () =>
        resolve({
          ok: false,
          error: { kind: 'ambiguous', message: `simulated time-out after ${timeoutMs} ms` },
        }),
      );
      this.time
        .timersOf(this.storeProcess)
        .after(this.random.next() * MAX_NETWORK_DELAY_MS, () =>
          handle((result) =>
            callerTimers.after(this.random.next() * MAX_NETWORK_DELAY_MS, () => resolve(result)),
          ),
        );
    });
  }
}

function unavailable<T>(): PlatformResult<T> {
  return { ok: false, error: { kind: 'unavailable', message: 'simulated outage' } };
}
