import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LedgerRow } from '../common/protocol/Ledger.js';
import { FakeTableStore, type TableFault } from '../storage/testing/FakeTableStore.js';
import { createLogger } from '../telemetry/Logger.js';
import { SimulatedTime } from '../follower/testing/SimulatedTime.js';
import type { Timers } from '../follower/Types.js';
import { LedgerWriter, type UsageRecord } from './LedgerWriter.js';

const createWriter = (store: FakeTableStore, flushIntervalMs = 60_000, timers?: Timers) =>
  new LedgerWriter({
    store,
    clock: { now: () => 0, wallTime: () => Date.UTC(2026, 2, 31) },
    writer: 'agent',
    writerId: 'a1',
    incarnation: 'i1',
    flushIntervalMs,
    ...(timers && { timers }),
    logger: createLogger('test', 'error'),
  });

const usageOf = (stage: string): UsageRecord => ({
  agentId: 'a1',
  agentIncarnation: 'i1',
  account: 'acme',
  template: 'plan',
  stage,
  class: 'useful',
  usage: { acceleratorMs: 2, tokensIn: 1, tokensOut: 1, calls: 1 },
});

const ALL = { table: 'ledger', prefix: '', limit: 1000 };

const totalCalls = (store: FakeTableStore): number =>
  store.table
    .scan({ table: 'ledger', prefix: '', limit: 1000 })
    .flatMap((row) => LedgerRow.parse(row.value).entries)
    .reduce((sum, entry) => sum + entry.usage.calls, 0);

test('usage is neither lost nor counted twice when writes fail or their answers are lost', async () => {
  const faults: (TableFault | undefined)[] = [
    'lost-after-commit',
    'unavailable',
    'lost-before-commit',
    undefined,
    'lost-after-commit',
  ];
  const store = new FakeTableStore();
  const writer = createWriter(store);
  let call = 0;
  store.chooseFault = () => {
    call += 1;
    return faults[call % faults.length];
  };
  for (let round = 0; round < 20; round += 1) {
    writer.record(usageOf('draft'));
    await writer.flush();
  }
  store.chooseFault = () => undefined;
  assert.equal(await writer.flush(), true);
  assert.equal(totalCalls(store), 20);
  writer.dispose();
});

test('many counters are split into rows of less than 64 KB', async () => {
  const store = new FakeTableStore();
  const writer = createWriter(store);
  for (let stage = 0; stage < 5000; stage += 1) writer.record(usageOf(`s${stage}`));
  while (!(await writer.flush()));
  const rows = store.table.scan({ table: 'ledger', prefix: '', limit: 1000 });
  assert.equal(rows.length, 67);
  assert.ok(rows.every((row) => JSON.stringify(row.value).length < 65_536));
  assert.equal(totalCalls(store), 5000);
  writer.dispose();
});

test('periodic flushes stay within their byte budget and write every part in turn', async () => {
  const store = new FakeTableStore();
  const time = new SimulatedTime();
  const writer = createWriter(store, 1000, time.timersOf({ pausedUntilMs: 0 }));
  for (let stage = 0; stage < 450; stage += 1) writer.record(usageOf(`s${stage}`));
  for (let interval = 1; interval <= 6; interval += 1) {
    await time.advanceTo(interval * 1000);
    // A part has 75 counters of about 250 bytes: one part fits into 32 KB, two do not.
    assert.equal(store.table.scan(ALL).length, interval);
    writer.record(usageOf('s0'));
  }
  await time.advanceTo(7000);
  assert.equal(totalCalls(store), 456);
  writer.dispose();
});
