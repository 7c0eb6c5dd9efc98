/** Measures rows and bytes written by one ledger flush, over counters with new usage. */
import { createLogger } from '../../../telemetry/Logger.js';
import { LedgerWriter } from '../../../ledger/LedgerWriter.js';
import { MemoryTable } from '../../../storage/MemoryTable.js';
import { SystemClock } from '../../../storage/SystemClock.js';
import type { TableStore } from '../../../storage/Types.js';
import type { Measurement, Point } from '../Types.js';

/**
 * Numbers of counters; there is one per account, template, stage, class and agent. The second value
 * is 270 accounts x 19 templates.
 */
const COUNTER_COUNTS = [100, 5130, 25_000];
/** Longer than the measurement, so that only explicit flushes write. */
const FLUSH_INTERVAL_MS = 3_600_000;
const ACCOUNTS = 270;
const MEGABYTE = 1_048_576;

export const ledger: Measurement = {
  description: 'rows, bytes and CPU of a ledger flush, over counters with new usage (in process)',
  run: async () => {
    const points: Point[] = [];
    for (const count of COUNTER_COUNTS) points.push(await measureFlush(count));
    return [{ name: 'one writer', unit: 'counters', points }];
  },
};

async function measureFlush(count: number): Promise<Point> {
  const written = { rows: 0, bytes: 0 };
  globalThis.gc?.();
  const heapBefore = process.memoryUsage().heapUsed;
  const writer = new LedgerWriter({
    store: countingStore(written),
    clock: new SystemClock(),
    writer: 'agent',
    writerId: 'agent-engines-1',
    incarnation: '00000000-0000-4000-8000-000000000000',
    flushIntervalMs: FLUSH_INTERVAL_MS,
    logger: createLogger('measure', 'error'),
  });
  for (let index = 0; index < count; index += 1) recordUsage(writer, index);
  globalThis.gc?.();
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / MEGABYTE;
  const cpu = process.cpuUsage();
  let flushes = 0;
  do flushes += 1;
  while (!(await writer.flush()));
  const { user, system } = process.cpuUsage(cpu);
  writer.dispose();
  const { rows, bytes } = written;
  return { x: count, values: { rows, bytes, flushes, cpuMs: (user + system) / 1000, heapMb } };
}

function recordUsage(writer: LedgerWriter, index: number): void {
  writer.record({
    agentId: 'agent-engines-1',
    agentIncarnation: '00000000-0000-4000-8000-000000000000',
    account: `account-${index % ACCOUNTS}`,
    template: `template-${Math.floor(index / ACCOUNTS)}`,
    stage: 'generate',
    class: 'useful',
    usage: { acceleratorMs: 123.456, tokensIn: 100, tokensOut: 300, calls: 1 },
  });
}

function countingStore(written: { rows: number; bytes: number }): TableStore {
  const table = new MemoryTable();
  return {
    read: async (rows) => ({ ok: true, value: rows.map((row) => table.read(row)) }),
    scan: async (range) => ({ ok: true, value: table.scan(range) }),
    transaction: async (request) => {
      Object.assign(written, {
        rows: written.rows + request.writes.length,
        bytes: written.bytes + JSON.stringify(request).length,
      });
      return table.transaction(request);
    },
  };
}
