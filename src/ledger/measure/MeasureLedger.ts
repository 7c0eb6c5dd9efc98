/**
 * Measures memory, CPU time and write rate of one ledger writer:
 * `node --expose-gc target/src/ledger/measure/MeasureLedger.js --keys 100`.
 * A key is one active combination of account, template and stage. Time is simulated, writes go to a
 * table in memory. Prints one JSON line.
 */
import { setImmediate } from 'node:timers/promises';
import yargs from 'yargs';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { MemoryTable } from '../../storage/MemoryTable.js';
import type { Timers } from '../../follower/Types.js';
import type { TableStore } from '../../storage/Types.js';
import { createLogger } from '../../telemetry/Logger.js';
import { LedgerWriter } from '../LedgerWriter.js';

const MS_PER_DAY = 86_400_000;
const US_PER_MS = 1000;
const MS_PER_SECOND = 1000;
const STAGES = 5;
const FLUSHES = 20;
const RECORDS_PER_KEY = 40;

const argv = await yargs(process.argv.slice(2))
  .option('keys', { type: 'number', default: 100 })
  .option('days', { type: 'number', default: 1, describe: 'Days of the month that have usage' })
  .option('agents', { type: 'number', default: 1, describe: 'Agent incarnations: 1 for an agent' })
  .option('flush-s', { type: 'number', default: 10 })
  .strict()
  .parseAsync();

function heapBytes(): number {
  if (!global.gc) throw new Error('global.gc is not available; start Node.js with --expose-gc');
  global.gc();
  return process.memoryUsage().heapUsed;
}

const table = new MemoryTable();
let writes = 0;
let writtenBytes = 0;
let isStoring = false;
const store: Pick<TableStore, 'transaction'> = {
  transaction: async (request) => {
    writes += 1;
    writtenBytes += JSON.stringify(request.writes).length;
    if (isStoring) return table.transaction(request);
    const version = request.checks[0]!.version + 1;
    return { ok: true, value: request.writes.map((write) => ({ ...write, version })) };
  },
};
const startWallTimeMs = Date.UTC(2026, 2, 1);
let wallTimeMs = startWallTimeMs;
const random = new SeededRandom(1);
const heapBytesBefore = heapBytes();
/** Pending flush action of the writer, called explicitly to end the interval. */
const flushInterval: { elapse: (() => void) | null } = { elapse: null };
const timers: Timers = {
  after: (_delayMs, action) => {
    flushInterval.elapse = action;
    return { dispose: () => undefined };
  },
};
const writer = new LedgerWriter({
  store: store as TableStore,
  clock: { now: () => wallTimeMs - startWallTimeMs, wallTime: () => wallTimeMs },
  ...{ writer: 'agent', writerId: 'agent-17.ashdown', incarnation: 'a3f1c29b7d40' },
  flushIntervalMs: argv.flushS * MS_PER_SECOND,
  timers,
  logger: createLogger('measure', 'error'),
});
const recordAll = (): void => {
  for (let agent = 0; agent < argv.agents; agent += 1) {
    for (let key = 0; key < argv.keys; key += 1) {
      writer.record({
        agentId: `agent-${agent}.ashdown`,
        agentIncarnation: `a3f1c29b7d${agent}`,
        account: `account-${Math.floor(key / STAGES) % 270}`,
        template: `template-${Math.floor(key / STAGES) % 19}`,
        stage: `stage-${key % STAGES}`,
        class: random.next() < 0.97 ? 'useful' : 'overhead',
        usage: { acceleratorMs: random.next() * 900, tokensIn: 300, tokensOut: 120, calls: 1 },
      });
    }
  }
};
for (let day = 0; day < argv.days; day += 1) {
  wallTimeMs = startWallTimeMs + day * MS_PER_DAY;
  for (let round = 0; round < RECORDS_PER_KEY; round += 1) recordAll();
}
const counterHeapBytes = heapBytes() - heapBytesBefore;
const counters = writer.size;
isStoring = true;
while (!(await writer.flush()));
const rows = table.scan({ table: 'ledger', prefix: '', limit: 1_000_000 });
const rowBytes = rows.map((row) => JSON.stringify(row.value).length);
isStoring = false;
writes = 0;
writtenBytes = 0;
let cpuUs = 0;
let recordUs = 0;
for (let flush = 0; flush < FLUSHES; flush += 1) {
  const recording = process.cpuUsage();
  recordAll();
  const { user, system } = process.cpuUsage(recording);
  recordUs += user + system;
  const flushing = process.cpuUsage();
  flushInterval.elapse?.();
  await setImmediate();
  const used = process.cpuUsage(flushing);
  cpuUs += used.user + used.system;
}
const seconds = FLUSHES * argv.flushS;
process.stdout.write(
  `${JSON.stringify({
    ...{ keys: argv.keys, agents: argv.agents, days: argv.days, counters, rows: rows.length },
    heapBytesPerCounter: Math.round(counterHeapBytes / counters),
    largestRowBytes: Math.max(...rowBytes),
    rowBytesPerCounter: Math.round(rowBytes.reduce((sum, size) => sum + size, 0) / counters),
    writesPerS: writes / seconds,
    writtenBytesPerS: Math.round(writtenBytes / seconds),
    cpuMsPerFlush: Math.round(cpuUs / FLUSHES) / US_PER_MS,
    cpuUsPerRecord: Math.round((recordUs / FLUSHES / (argv.keys * argv.agents)) * 10) / 10,
  })}\n`,
);
writer.dispose();
