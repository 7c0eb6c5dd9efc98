import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { StreamOrigins, type StreamGroup } from './StreamOrigins.js';
import { chooseStreamRecorders } from './StreamRecorders.js';
import { StreamRecords } from './StreamRecords.js';
import { ManualClock } from './testing/ManualClock.js';

const LIFETIME_MS = 10_000;

function createOrigins() {
  const clock = new ManualClock();
  const origins = new StreamOrigins(clock, () => LIFETIME_MS);
  const records = new StreamRecords(clock, origins, () => LIFETIME_MS);
  origins.onHeard((id) => records.add(id));
  const begin = (id: string, version = 'v1') => origins.begin(id, { service: 'pool', version });
  return { clock, origins, records, begin };
}

function groupOf(version: string, ...attemptIds: string[]): StreamGroup {
  return { service: 'pool', version, attemptIds };
}

describe('StreamOrigins', () => {
  it('is bounded in number and time', () => {
    const { clock, origins, begin } = createOrigins();
    for (let index = 0; index < 30_000; index += 1) begin(`${index}`);
    assert.ok(origins.size <= 20_000);
    clock.set(LIFETIME_MS + 1);
    begin('late');
    assert.equal(origins.size, 1);
    assert.deepEqual(origins.ownGroups(1000, 10), [groupOf('v1', 'late')]);
  });

  it('keeps the first record of a stream', () => {
    // Guards against an older or foreign record that replaces the one of the first event.
    const { origins, begin } = createOrigins();
    begin('own');
    origins.learn([groupOf('v2', 'own', 'other')]);
    origins.restore([groupOf('v3', 'own', 'other')]);
    assert.equal(origins.find('own')?.version, 'v1');
    assert.equal(origins.find('other')?.version, 'v2');
  });

  it('knows streams whose attempt ids are long', () => {
    const { origins, begin } = createOrigins();
    const peer = createOrigins().origins;
    const attemptId = 'a'.repeat(4000);
    begin(attemptId);
    const groups = origins.ownGroups(1000, 10);
    assert.ok(JSON.stringify(groups).length < 200);
    peer.learn(groups);
    assert.equal(peer.find(attemptId)?.version, 'v1');
    assert.equal(peer.find(`${attemptId}a`), undefined);
  });

  it('tells peers its own streams only, the newest first if there are many', () => {
    const { clock, origins, begin } = createOrigins();
    begin('old');
    clock.set(2000);
    origins.learn([groupOf('v1', 'other')]);
    ['a', 'b', 'c'].forEach((id) => begin(id));
    assert.deepEqual(origins.ownGroups(1000, 2), [groupOf('v1', 'b', 'c')]);
  });
});

describe('StreamRecords', () => {
  const takeAll = (records: StreamRecords) => {
    const rows = [];
    for (let row = records.takeDue(); row; row = records.takeDue()) rows.push(row);
    return rows;
  };

  it('writes each stream with those that began at about the same time', () => {
    const { origins, records, begin } = createOrigins();
    begin('a');
    origins.learn([groupOf('v2', 'b')]);
    assert.deepEqual(takeAll(records), [
      { slot: 0, streams: [groupOf('v1', 'a'), groupOf('v2', 'b')] },
    ]);
    assert.equal(records.isDue, false);
    begin('c', 'v2');
    const [row] = takeAll(records);
    assert.deepEqual(row, { slot: 0, streams: [groupOf('v1', 'a'), groupOf('v2', 'b', 'c')] });
    assert.ok(row);
    records.recordFailure(row);
    assert.deepEqual(takeAll(records), [row]);
  });

  it('uses few rows, and keeps those of earlier lives while their streams can be taken up', () => {
    const { clock, records, begin } = createOrigins();
    records.reserve([0, 1]);
    const slots = new Set<number>();
    const earlySlots = new Set<number>();
    for (let now = 0; now < 10 * LIFETIME_MS; now += 100) {
      clock.set(now);
      begin(`${now}`);
      takeAll(records).forEach(({ slot }) => {
        slots.add(slot);
        if (now < LIFETIME_MS) earlySlots.add(slot);
      });
    }
    assert.ok(!earlySlots.has(0) && !earlySlots.has(1));
    assert.ok(slots.size <= 13, `${slots.size} rows`);
  });

  it('writes all streams that can still be taken up again after a restore of the store', () => {
    const { clock, records, begin } = createOrigins();
    begin('ended');
    for (let now = 0; now <= LIFETIME_MS + 2000; now += 2000) {
      clock.set(now);
      begin(`${now}`);
    }
    takeAll(records);
    records.markAllDue();
    const ids = takeAll(records).flatMap(({ streams }) => streams[0]!.attemptIds);
    assert.ok(!ids.includes('ended'));
    assert.ok(ids.includes(`${LIFETIME_MS}`) && ids.includes('4000'));
  });

  it('bounds rows and streams in a row', () => {
    const { records, begin } = createOrigins();
    for (let index = 0; index < 60_000; index += 1) begin(`${index}`);
    const rows = takeAll(records);
    assert.ok(rows.length <= 64);
    const counts = rows.map(({ streams }) => streams[0]?.attemptIds.length ?? 0);
    assert.ok(counts.every((count) => count <= 700));
  });
});

describe('chooseStreamRecorders', () => {
  const ids = Array.from({ length: 40 }, (_, index) => `front-${index}`);
  const candidates = ids.map((id) => ({ id, isLeaving: false }));

  it('chooses three processes, whatever the size of the fleet and the order', () => {
    const chosen = chooseStreamRecorders(candidates);
    assert.equal(chosen.length, 3);
    assert.deepEqual(chooseStreamRecorders([...candidates].reverse()), chosen);
    assert.deepEqual(chooseStreamRecorders(candidates.slice(0, 1)), [ids[0]]);
  });

  it('passes over processes that leave, unless all do', () => {
    const [first] = chooseStreamRecorders(candidates);
    const leaving = candidates.map(({ id }) => ({ id, isLeaving: id === first }));
    assert.ok(!chooseStreamRecorders(leaving).includes(first!));
    const all = candidates.map(({ id }) => ({ id, isLeaving: true }));
    assert.equal(chooseStreamRecorders(all).length, 3);
  });
});
