import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeededRandom } from '../time/SeededRandom.js';
import {
  EvacuationReport,
  EvacuationView,
  MAX_DOMAIN_NAME_LENGTH,
  MAX_EVACUATED_DOMAINS,
  type IgnoredEvacuations,
} from './EvacuationView.js';
import { ServerDirectory } from './ServerDirectory.js';
import { StageQueue } from './StageQueue.js';
import type { StorePosition } from './StorePosition.js';
import type { PlannedCall } from './Types.js';
import { ManualClock } from './testing/ManualClock.js';
import {
  createCapacity,
  createDepartures,
  createServer,
  createStageRules,
  createTask,
} from './testing/fixtures.js';

const at = (version: number, era = 1): StorePosition => ({ era, version });
const put = (domain: string, version = 1) => ({ domain, version, isRemoved: false });
const remove = (domain: string, version = 1) => ({ domain, version, isRemoved: true });

function createView() {
  const clock = new ManualClock();
  const view = new EvacuationView(clock);
  const events: string[] = [];
  const ignored: IgnoredEvacuations[] = [];
  view.onEvacuated(({ domain, source }) => events.push(`${domain} evacuated by ${source}`));
  view.onLifted(({ domain, source }) => events.push(`${domain} lifted by ${source}`));
  view.onChanged(() => events.push('changed'));
  view.onIgnored((value) => ignored.push(value));
  return { clock, view, events, ignored };
}

const domainsOf = (view: EvacuationView) => [...(view.report?.domains ?? [])].sort();

describe('EvacuationView', () => {
  it('begins and ends evacuations with the rows, and names what changed', () => {
    const { view, events } = createView();
    view.replaceAll([], at(1), false);
    view.apply([put('north')], at(2));
    assert.ok(view.has('north') && !view.has('south'));
    view.apply([], at(3));
    view.apply([remove('north')], at(4));
    assert.equal(view.has('north'), false);
    assert.deepEqual(events, [
      'changed',
      'north evacuated by store',
      'changed',
      'north lifted by store',
      'changed',
    ]);
  });

  it('counts every domain as evacuated until the evacuations are known', () => {
    // Guards against a process that starts and sends its first requests to an evacuated domain.
    const { view } = createView();
    assert.ok(view.has('north') && !view.isKnown && view.report === undefined);
    view.merge({ position: at(5), domains: ['north'] }, 'peer');
    assert.ok(view.has('north') && !view.has('south') && view.isKnown);
  });

  it('waits a limited time for peers that send evacuations if others send none', () => {
    // Guards against a process that is never ready while the store refuses it and all peers are older.
    const { clock, view, events } = createView();
    view.merge(undefined, 'older');
    clock.set(900);
    view.merge(undefined, 'older');
    assert.equal(view.isKnown, false);
    clock.set(1000);
    view.merge(undefined, 'older');
    assert.ok(view.isKnown && !view.has('north'));
    assert.deepEqual(events, ['changed']);
    assert.equal(view.report, undefined);
  });

  it('takes the list with the later position, of a peer or of the store', () => {
    const { view } = createView();
    view.replaceAll([put('north')], at(10), false);
    view.merge({ position: at(9), domains: [] }, 'peer');
    assert.deepEqual(domainsOf(view), ['north']);
    view.merge({ position: at(12), domains: ['south'] }, 'peer');
    assert.deepEqual(domainsOf(view), ['south']);
    // A read that was under way for longer than the peer's.
    view.apply([put('east')], at(11));
    assert.deepEqual(domainsOf(view), ['south']);
    view.apply([remove('north'), put('south')], at(13));
    assert.deepEqual(domainsOf(view), ['east', 'south']);
  });

  it('keeps the list after a restore until the whole table was read in the new era', () => {
    // Guards against an evacuation that ends because the store is away.
    const { view } = createView();
    view.replaceAll([put('north'), put('south')], at(90), false);
    view.merge({ position: at(95), domains: ['north', 'south'] }, 'peer');
    view.replaceAll([put('south')], at(20, 2), true);
    assert.deepEqual(domainsOf(view), ['south']);
    view.merge({ position: at(99), domains: ['north'] }, 'cut off');
    assert.deepEqual(domainsOf(view), ['south']);
  });

  it('applies the whole read of a restored store that names no era', () => {
    const { view } = createView();
    view.replaceAll([put('north')], at(90, 0), false);
    view.replaceAll([], at(20, 0), true);
    assert.deepEqual(domainsOf(view), []);
  });

  it('ignores names that are empty or too long and reports them once for each read', () => {
    const { view, ignored } = createView();
    const long = 'x'.repeat(MAX_DOMAIN_NAME_LENGTH + 1);
    view.replaceAll([put(''), put(long), put(`${long}y`), put('north')], at(1), false);
    view.apply([], at(2));
    assert.deepEqual(domainsOf(view), ['north']);
    assert.deepEqual(ignored, [
      { reason: 'empty name', count: 1, example: '' },
      { reason: 'name too long', count: 2, example: long.slice(0, MAX_DOMAIN_NAME_LENGTH) },
    ]);
  });

  it('keeps the first domains in force, and the next one when one of them is lifted', () => {
    // Guards against an evacuation that ends because another one begins, and against processes that
    // disagree on which ones are in force.
    const { view, ignored } = createView();
    const name = (index: number) => `zone-${String(index).padStart(3, '0')}`;
    const rows = Array.from({ length: MAX_EVACUATED_DOMAINS }, (_, index) => put(name(index), 5));
    view.replaceAll(rows, at(5), false);
    view.apply([put('a-later-one', 6)], at(6));
    assert.equal(view.count, MAX_EVACUATED_DOMAINS);
    assert.equal(view.has('a-later-one'), false);
    assert.deepEqual(ignored, [{ reason: 'too many domains', count: 1, example: 'a-later-one' }]);
    view.apply([remove(name(0), 7)], at(7));
    assert.ok(view.has('a-later-one') && !view.has(name(0)));
    const restarted = createView().view;
    restarted.replaceAll([put('a-later-one', 6), ...rows], at(7), false);
    assert.equal(restarted.has('a-later-one'), false);
  });

  it('reports lists that fit in a datagram and that peers accept', () => {
    // Guards against heartbeats that are lost because of their size, so that their sender seems dead.
    const { view, ignored } = createView();
    const rows = Array.from({ length: 5000 }, (_, index) =>
      put(`${index}`.padEnd(MAX_DOMAIN_NAME_LENGTH, '\u{2028}'), index),
    );
    view.replaceAll(rows, at(5000), false);
    const text = JSON.stringify(view.report);
    assert.ok(Buffer.byteLength(text) < 21_000);
    assert.deepEqual(EvacuationReport.parse(JSON.parse(text)), view.report);
    assert.ok(view.count > 0);
    assert.equal(ignored[0]!.count, rows.length - view.count);
    const others = rows.slice(0, 1000).map(({ domain, version }) => remove(domain, version));
    view.apply(others, at(5001));
    assert.equal(view.count, 0, 'more names were remembered than the bound allows');
  });
});

describe('ServerDirectory with evacuations', () => {
  function createDirectory() {
    const clock = new ManualClock();
    const departures = createDepartures(clock);
    const evacuations = new EvacuationView(clock);
    const directory = new ServerDirectory(clock, departures, undefined, evacuations);
    const register = (id: string, overrides = {}) =>
      directory.apply([{ id, server: createServer(id, overrides) }]);
    const ids = () => directory.usable('retrieval').map(({ id }) => id);
    return { clock, departures, evacuations, directory, register, ids };
  }

  it('leaves out servers of the domain, also the only ones and those that register meanwhile', () => {
    const { evacuations, directory, register, ids } = createDirectory();
    register('s1');
    assert.deepEqual(ids(), []);
    assert.equal(directory.isServiceEvacuated('retrieval'), false);
    evacuations.replaceAll([], at(1), false);
    assert.deepEqual(ids(), ['s1']);
    evacuations.apply([put('north')], at(2));
    register('s2');
    assert.deepEqual(ids(), []);
    assert.equal(directory.isServiceEvacuated('retrieval'), true);
    assert.equal(directory.isServiceEvacuated('other'), false);
    register('s1', { failureDomain: 'south' });
    assert.deepEqual(ids(), ['s1']);
    assert.equal(directory.isServiceEvacuated('retrieval'), false);
    evacuations.apply([remove('north')], at(3));
    assert.deepEqual(ids(), ['s1', 's2']);
  });

  it('uses a leaving server of another domain in its grace time, but none of the domain', () => {
    const { departures, evacuations, directory, register, ids } = createDirectory();
    evacuations.replaceAll([put('north')], at(1), false);
    register('s1');
    register('s2', { failureDomain: 'south' });
    departures.recordResponse(directory.get('s2')!);
    assert.deepEqual(ids(), ['s2']);
    departures.recordResponse(directory.get('s1')!);
    assert.deepEqual(ids(), ['s2']);
  });
});

const DOMAINS = ['north', 'south', 'east', 'west'];

/** Store whose table of evacuations is read by followers, and which can be restored. */
class SimulatedStore {
  position = at(1);

  rows = new Map<string, { version: number; isRemoved: boolean }>();

  /** Evacuated domains at each position. */
  readonly history = new Map<string, string>([[JSON.stringify(at(1)), '']]);

  private copy = { position: at(1), rows: new Map(this.rows) };

  get domains(): string {
    return [...this.rows]
      .filter(([, { isRemoved }]) => !isRemoved)
      .map(([domain]) => domain)
      .sort()
      .join();
  }

  /** Writes a row of the table, or of another one if no domain is given. */
  write(domain?: string, isRemoved = false): void {
    this.position = at(this.position.version + 1, this.position.era);
    if (domain !== undefined) this.rows.set(domain, { version: this.position.version, isRemoved });
    this.record();
  }

  takeCopy(): void {
    this.copy = { position: this.position, rows: new Map(this.rows) };
  }

  restore(): void {
    this.rows = new Map(this.copy.rows);
    this.position = at(this.copy.position.version, this.position.era + 1);
    this.record();
  }

  /** @returns rows that changed after a version */
  changedAfter(after: number) {
    return [...this.rows]
      .filter(([, { version }]) => version > after)
      .map(([domain, row]) => ({ domain, ...row }));
  }

  private record(): void {
    this.history.set(JSON.stringify(this.position), this.domains);
  }
}

/** @returns a process that reads the store, unless it is cut off from it */
function createProcess(store: SimulatedStore) {
  let view = new EvacuationView(new ManualClock());
  let read: StorePosition | undefined;
  let isCutOff = false;
  return {
    view: () => view,
    toggleCutOff: () => {
      isCutOff = !isCutOff;
    },
    restart: () => {
      view = new EvacuationView(new ManualClock());
      read = undefined;
    },
    readStore: () => {
      if (isCutOff) return;
      const { position } = store;
      if (read?.era === position.era) view.apply(store.changedAfter(read.version), position);
      else {
        const rows = store.changedAfter(-1).filter(({ isRemoved }) => !isRemoved);
        view.replaceAll(rows, position, read !== undefined);
      }
      read = position;
    },
  };
}

describe('a fleet that follows evacuations', () => {
  [1, 2, 3, 4, 5].forEach((seed) => {
    it(`never shows other domains than the store had at the position known (seed ${seed})`, () => {
      // Load pattern: evacuations that begin and end every few steps, while a third of 30 processes
      // does not reach the store, heartbeats are lost, processes restart and the store is restored.
      const source = new SeededRandom(seed);
      const chance = (probability: number) => source.next() < probability;
      const store = new SimulatedStore();
      const processes = Array.from({ length: 30 }, () => createProcess(store));
      const exchange = (loss: number) =>
        processes.forEach((from, index) =>
          processes.forEach((to) => {
            if (from !== to && !chance(loss)) to.view().merge(from.view().report, `${index}`);
          }),
        );
      const check = (view: EvacuationView, before: StorePosition | undefined) => {
        const { report } = view;
        if (!report) return;
        const { position } = report;
        assert.equal(
          domainsOf(view).join(),
          store.history.get(JSON.stringify(position)),
          `at ${JSON.stringify(position)}`,
        );
        const isBack =
          before?.era === position.era
            ? position.version < before.version
            : position.era < (before?.era ?? 0);
        assert.equal(isBack, false);
      };
      for (let step = 0; step < 300; step += 1) {
        const before = processes.map(({ view }) => view().report?.position);
        const domain = DOMAINS[Math.floor(source.next() * DOMAINS.length)]!;
        if (chance(0.3)) store.write(domain, chance(0.5));
        if (chance(0.5)) store.write();
        if (chance(0.02)) store.takeCopy();
        if (chance(0.02)) store.restore();
        processes.forEach((process, index) => {
          if (index % 3 === 0 && chance(0.02)) process.toggleCutOff();
          if (chance(0.02)) {
            process.restart();
            before[index] = undefined;
          }
          if (chance(0.3)) process.readStore();
        });
        exchange(0.7);
        processes.forEach(({ view }, index) => check(view(), before[index]));
      }
      // One process reads; the others, also those that the store refuses, hear of it.
      processes[1]!.readStore();
      exchange(0);
      processes.forEach(({ view }) => assert.equal(domainsOf(view()).join(), store.domains));
    });
  });
});

describe('waiting pieces in an evacuation', () => {
  it('move to servers of other domains, and end at once if there are none', () => {
    // Load pattern: a burst of 400 pieces on three servers in each of two domains; one domain is
    // evacuated while all servers are busy, then the other one.
    const clock = new ManualClock();
    const evacuations = new EvacuationView(clock);
    const directory = new ServerDirectory(clock, createDepartures(clock), undefined, evacuations);
    evacuations.replaceAll([], at(1), false);
    const servers = Array.from({ length: 6 }, (_, index) =>
      createServer(`s${index + 1}`, { failureDomain: index < 3 ? 'north' : 'south' }),
    );
    directory.apply(servers.map((server) => ({ id: server.id, server })));
    const queue = new StageQueue(clock, createCapacity(), createStageRules(clock));
    const refresh = () => queue.updateServers(directory.usable('retrieval'));
    evacuations.onChanged(refresh);
    refresh();
    let running: { call: PlannedCall; endsAt: number }[] = [];
    const outcomes: string[] = [];
    const callsByDomain: Record<string, number> = { north: 0, south: 0 };
    const step = (now: number) => {
      clock.set(now);
      const ended = running.filter(({ endsAt }) => endsAt <= now);
      running = running.filter(({ endsAt }) => endsAt > now);
      ended.forEach(({ call }) => {
        const pieces = call.pieces.map(({ taskId, piece }) => ({
          kind: 'made' as const,
          handle: `${taskId}/${piece}`,
        }));
        queue
          .finishCall(call.callId, { kind: 'answered', pieces })
          .forEach(({ outcome }) => outcomes.push(outcome.kind));
      });
      queue.plan().forEach((call) => {
        callsByDomain[call.server.failureDomain]! += 1;
        running.push({ call, endsAt: now + call.expectedMs });
      });
    };
    const advanceTo = (time: number) => {
      for (let now = clock.now(); now <= time; now += 10) step(now);
    };
    for (let index = 0; index < 100; index += 1) {
      queue.add(createTask({ pieces: 4, dueAt: 20_000, expiresAt: 60_000 }));
    }
    advanceTo(100);
    const south = callsByDomain.south!;
    assert.equal(south, 3);
    evacuations.apply([put('south')], at(2));
    advanceTo(1000);
    assert.equal(callsByDomain.south, south);
    assert.ok(callsByDomain.north! > 3);
    // The calls in progress at the evacuated servers count as well.
    const carried = callsByDomain.north! + south - running.length;
    assert.equal(outcomes.length, carried * 3);
    evacuations.apply([put('north')], at(3));
    assert.ok(directory.isServiceEvacuated('retrieval'));
    const failed = queue.failWaiting();
    assert.ok(failed.every(({ outcome }) => outcome.kind === 'failed'));
    assert.equal(failed.length + outcomes.length + running.length * 3, 100);
    assert.equal(queue.waitingPieceCount, 0);
    const north = callsByDomain.north!;
    advanceTo(3000);
    assert.equal(callsByDomain.north, north);
    assert.ok(queue.isEmpty && outcomes.every((kind) => kind === 'done'));
  });
});
