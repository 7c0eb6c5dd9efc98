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

const LONGEST_DELAY_MS = 20;
/** A request may be held up in the network for longer than the caller waits. */
const LATE_MS = 3000;

/** Faults in force; the test changes them while time passes. */
export interface StoreFaults {
  /** The store does not answer before this time. */
  downUntilMs: number;
  /** Share of transactions whose answer is lost; half of them take effect, some of these late. */
  lostShare: number;
  /** Reads show the state of this long ago. */
  staleMs: number;
}

/** Table service in simulated time with outages, lost answers, late writes and stale reads. */
export class SimulatedStore {
  readonly table = new MemoryTable();

  readonly faults: StoreFaults = { downUntilMs: 0, lostShare: 0, staleMs: 0 };

  /** States of the table, oldest first. */
  private readonly states = [{ atMs: 0, table: new MemoryTable() }];

  private readonly owner: SimulatedProcess = { pausedUntilMs: 0 };

  constructor(
    private readonly time: SimulatedTime,
    private readonly random: RandomSource,
  ) {}

  /**
   * @param process - process that makes the calls
   * @param isCutOff - whether the process cannot reach the store now
   * @returns the store as this process sees it
   */
  seenBy(process: SimulatedProcess, isCutOff: () => boolean): TableStore {
    const query = (read: (table: MemoryTable) => Row[], timeoutMs: number) =>
      this.call<Row[]>(process, timeoutMs, (answer) => {
        if (this.faults.downUntilMs > this.time.now() || isCutOff()) answer(unavailable());
        else answer({ ok: true, value: read(this.tableOf(this.time.now() - this.faults.staleMs)) });
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
    const delayMs = this.random.next() < 0.5 ? 0 : this.random.next() * LATE_MS;
    this.time.timersOf(this.owner).after(delayMs, () => this.commit(request));
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
    this.states.push({ atMs: this.time.now(), table: copy });
    return result;
  }

  private tableOf(atMs: number): MemoryTable {
    return this.states.findLast((state) => state.atMs <= atMs)?.table ?? this.states[0]!.table;
  }

  /** Sends a request, waits for its answer or for the time-out. */
  private call<T>(
    process: SimulatedProcess,
    timeoutMs: number,
    serve: (answer: (result: PlatformResult<T>) => void) => void,
  ): Promise<PlatformResult<T>> {
    return new Promise((resolve) => {
      const own = this.time.timersOf(process);
      own.after(timeoutMs, () =>
        resolve({ ok: false, error: { kind: 'ambiguous', message: 'time-out' } }),
      );
      this.time
        .timersOf(this.owner)
        .after(this.random.next() * LONGEST_DELAY_MS, () =>
          serve((result) =>
            own.after(this.random.next() * LONGEST_DELAY_MS, () => resolve(result)),
          ),
        );
    });
  }
}

function unavailable<T>(): PlatformResult<T> {
  return { ok: false, error: { kind: 'unavailable', message: 'outage' } };
}
