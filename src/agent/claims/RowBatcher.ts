import type { PlatformResult, Row, RowAddress, TableStore } from '../../storage/Types.js';

/** Compare-and-swap of one row: writes `value` if the row has `version` (0: is absent). */
export interface RowSwap extends RowAddress {
  readonly version: number;
  readonly value: unknown;
}

/** Maximum number of rows in one transaction. */
const MAX_BATCH_ROWS = 64;

/** Maximum number of transactions in flight; with two, one slow call does not block all writes. */
const MAX_IN_FLIGHT = 2;

interface PendingSwap {
  readonly swap: RowSwap;
  readonly resolve: (result: PlatformResult<Row>) => void;
}

/** Group commit: swaps that are pending at the same time share one transaction of the store. */
export class RowBatcher {
  private pending: PendingSwap[] = [];

  private inFlight = 0;

  /**
   * @param store - table service
   * @param timeoutMs - timeout of each call, in ms
   */
  constructor(
    private readonly store: TableStore,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Writes a row as soon as a transaction is free.
   * @param swap - row to write
   * @returns the new row, or the error of this row; conflicts of other rows do not affect it
   */
  write(swap: RowSwap): Promise<PlatformResult<Row>> {
    return new Promise((resolve) => {
      this.pending.push({ swap, resolve });
      this.flush();
    });
  }

  private flush(): void {
    while (this.inFlight < MAX_IN_FLIGHT && this.pending.length > 0) {
      const batch = this.dequeueBatch();
      this.inFlight += 1;
      const onCommitEnd = () => {
        this.inFlight -= 1;
        this.flush();
      };
      this.commit(batch).then(onCommitEnd, onCommitEnd);
    }
  }

  /**
   * Dequeues the swaps of one transaction. Two swaps of one row must not share it: both checks
   * would pass against the old row and the second write would overwrite the first.
   */
  private dequeueBatch(): PendingSwap[] {
    const keys = new Set<string>();
    const batch: PendingSwap[] = [];
    const remaining: PendingSwap[] = [];
    for (const item of this.pending) {
      const key = addressKey(item.swap);
      const fits = batch.length < MAX_BATCH_ROWS && !keys.has(key);
      (fits ? batch : remaining).push(item);
      keys.add(key);
    }
    this.pending = remaining;
    return batch;
  }

  private async commit(batch: readonly PendingSwap[]): Promise<void> {
    const result = await this.transact(batch);
    if (result.ok) {
      batch.forEach((item, position) =>
        item.resolve({ ok: true, value: rowOf(result.value, item.swap, position) }),
      );
      return;
    }
    const { error } = result;
    if (error.kind !== 'conflict' || batch.length === 1) {
      batch.forEach((item) => item.resolve({ ok: false, error }));
      return;
    }
    // One row failed its check, so nothing was written: its swap gets the conflict, and the others
    // are retried in one transaction each.
    const conflictingKey = addressKey(error.current);
    await Promise.all(
      batch.map((item) => {
        if (addressKey(item.swap) !== conflictingKey) return this.commit([item]);
        item.resolve({ ok: false, error });
        return undefined;
      }),
    );
  }

  private async transact(batch: readonly PendingSwap[]): Promise<PlatformResult<Row[]>> {
    const swaps = batch.map((item) => item.swap);
    const request = {
      checks: swaps.map(({ table, key, version }) => ({ table, key, version })),
      writes: swaps.map(({ table, key, value }) => ({ table, key, value })),
    };
    try {
      return await this.store.transaction(request, { timeoutMs: this.timeoutMs });
    } catch (error) {
      return { ok: false, error: { kind: 'ambiguous', message: String(error) } };
    }
  }
}

function addressKey({ table, key }: RowAddress): string {
  return `${table}\u0000${key}`;
}

function rowOf(rows: readonly Row[], swap: RowSwap, position: number): Row {
  const { table, key, value, version } = swap;
  return rows[position] ?? { table, key, value, version: version + 1 };
}
