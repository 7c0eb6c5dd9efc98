import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { ConfigurationState } from '../common/configuration/ConfigurationState.js';
import type { Change, ConfigurationSnapshot } from '../common/protocol/Configuration.js';
import { Change as ChangeSchema } from '../common/protocol/Configuration.js';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { createLogger } from '../telemetry/Logger.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';
import { SimulatedStore } from './testing/SimulatedStore.js';
import { SimulatedTime, type SimulatedProcess } from './testing/SimulatedTime.js';
import type { PublishResult } from './Types.js';

const SEED = 20_261_204;
const RUNS = 120;
const BOUND_MS = 5000;
/** Time within which the events of a run begin, and the longest fault. */
const ACTIVE_MS = 20_000;
const LONGEST_FAULT_MS = 6000;
const STALE_MS = 500;
/** Share of calls between processes that are never answered. */
const SILENT_SHARE = 0.05;
/** Step of the search for times at which a revision is out of reach. */
const STEP_MS = 50;
const ENTRIES = 3;
const PROCESSES = 6;
const logger = createLogger('test', 'error');

const process = fc.nat(PROCESSES - 1);
const during = { atMs: fc.nat(ACTIVE_MS), forMs: fc.integer({ min: 100, max: LONGEST_FAULT_MS }) };
const event = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('publish' as const),
      // Few times, so that publishers race.
      atMs: fc.integer({ min: 1, max: 40 }).map((step) => step * 500),
      entry: fc.nat(ENTRIES - 1),
      server: fc.nat(3),
      draining: fc.boolean(),
    }),
  },
  fc.record({ kind: fc.constant('outage' as const), ...during }),
  fc.record({
    kind: fc.constant('lost' as const),
    share: fc.double({ min: 0.2, max: 1, noNaN: true }),
    ...during,
  }),
  fc.record({ kind: fc.constant('stale' as const), ...during }),
  fc.record({ kind: fc.constant('pause' as const), process, ...during }),
  fc.record({ kind: fc.constant('cut' as const), process, ...during }),
);
const scenario = fc.record({
  seed: fc.nat(1e6),
  events: fc.array(event, { minLength: 4, maxLength: 24 }),
  /** Share of notices that never arrive. */
  noticeLoss: fc.constantFrom(0, 0.5, 1),
  /** When each process starts. */
  startsAtMs: fc.array(fc.constantFrom(0, 0, 4000, 12_000), {
    minLength: PROCESSES,
    maxLength: PROCESSES,
  }),
});
type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

interface Interval {
  readonly from: number;
  readonly to: number;
}

interface Process extends SimulatedProcess {
  readonly follower: ConfigurationFollower;
  readonly startsAtMs: number;
  readonly pausedMs: Interval[];
  readonly cutMs: Interval[];
  history: { atMs: number; snapshot: ConfigurationSnapshot }[];
  cutUntilMs: number;
}

interface Outcome {
  readonly changeId: string;
  readonly atMs: number;
  readonly result: PublishResult;
}

/** Runs a scenario and gives the processes, the outcomes of publishing and the committed log. */
async function simulate({ seed, events, noticeLoss, startsAtMs }: Scenario) {
  const time = new SimulatedTime();
  const random = new SeededRandom(seed);
  const store = new SimulatedStore(time, random);
  const world: SimulatedProcess = { pausedUntilMs: 0 };
  const processes: Process[] = [];
  const outcomes: Outcome[] = [];
  const outages: Interval[] = [];

  /** Carries a call to another process; the answer waits while the target or the caller is paused. */
  const carry = <T>(caller: SimulatedProcess, target: SimulatedProcess, serve: () => Promise<T>) =>
    new Promise<T>((resolve, reject) => {
      if (random.next() < SILENT_SHARE) return;
      time.timersOf(target).after(random.next() * 20, () => {
        serve().then(
          (value) => time.timersOf(caller).after(random.next() * 20, () => resolve(value)),
          reject,
        );
      });
    });
  const isStarted = (peer: Process) => peer.startsAtMs <= time.now();

  startsAtMs.forEach((startAtMs, index) => {
    const own = {
      pausedUntilMs: 0,
      startsAtMs: startAtMs,
      pausedMs: [],
      cutMs: [],
      history: [],
      cutUntilMs: 0,
    };
    const self = own as unknown as Process;
    const follower = new ConfigurationFollower({
      store: store.seenBy(self, () => self.cutUntilMs > time.now()),
      clock: time,
      random,
      pollIntervalMs: index < ENTRIES ? 1000 : 4000,
      peers: async () =>
        processes
          .slice(0, ENTRIES)
          .filter((peer) => peer !== self && isStarted(peer))
          .map((peer) => ({
            since: (after) => carry(self, peer, () => peer.follower.since(after)),
          })),
      logger,
      timers: time.timersOf(self),
      condensedFrom: 2,
    });
    follower.onChange((snapshot) => self.history.push({ atMs: time.now(), snapshot }));
    processes.push(Object.assign(self, { follower }));
    time.timersOf(world).after(startAtMs, () => {
      follower.start().catch(assert.ifError);
    });
  });

  const notifierOf = (self: Process) => ({
    notify: async (changes: readonly Change[]) => {
      for (const peer of processes) {
        if (peer === self || !isStarted(peer) || random.next() < noticeLoss) continue;
        carry(self, peer, () => peer.follower.notify(changes)).catch(() => undefined);
      }
    },
  });
  const publishers = processes.slice(0, ENTRIES).map(
    (self) =>
      new ConfigurationPublisher({
        store: store.seenBy(self, () => self.cutUntilMs > time.now()),
        clock: time,
        source: self.follower,
        notifier: notifierOf(self),
        logger,
        timers: time.timersOf(self),
        // Small, so that processes that start late or were cut off read the condensed log.
        condenseInterval: 3,
      }),
  );
  const begin = (item: Scenario['events'][number], index: number): void => {
    const untilMs = 'forMs' in item ? time.now() + item.forMs : 0;
    const later = (action: () => void) => time.timersOf(world).after(untilMs - time.now(), action);
    if (item.kind === 'outage') {
      store.faults.downUntilMs = Math.max(store.faults.downUntilMs, untilMs);
      outages.push({ from: time.now(), to: untilMs });
    } else if (item.kind === 'lost') {
      store.faults.lostShare = item.share;
      later(() => Object.assign(store.faults, { lostShare: 0 }));
    } else if (item.kind === 'stale') {
      store.faults.staleMs = STALE_MS;
      later(() => Object.assign(store.faults, { staleMs: 0 }));
    } else if (item.kind === 'cut') {
      const target = processes[item.process]!;
      target.cutUntilMs = Math.max(target.cutUntilMs, untilMs);
      target.cutMs.push({ from: time.now(), to: untilMs });
    } else if (item.kind === 'pause') {
      const target = processes[item.process]!;
      target.pausedUntilMs = Math.max(target.pausedUntilMs, untilMs);
      target.pausedMs.push({ from: time.now(), to: untilMs });
    } else {
      const self = processes[item.entry]!;
      if (!isStarted(self)) return;
      const changeId = `change-${index}`;
      const subject = {
        kind: 'server' as const,
        value: { id: `s${item.server}`, draining: item.draining },
      };
      const expectedRevision = self.follower.snapshot().revision;
      publishers[item.entry]!.publish({
        expectedRevision,
        changeId,
        author: 'ann',
        subject,
      }).then((result) => outcomes.push({ changeId, atMs: time.now(), result }), assert.ifError);
    }
  };
  events.forEach((item, index) => time.timersOf(world).after(item.atMs, () => begin(item, index)));
  // Faults end, publishers give up, and the last poll interval passes.
  const endMs = ACTIVE_MS + LONGEST_FAULT_MS + 12_000 + BOUND_MS;
  await time.advanceTo(endMs);
  processes.forEach((item) => item.follower.dispose());
  const log = store.table
    .scan({ table: 'configuration', prefix: 'change/', limit: 1e6 })
    .map((row) => ChangeSchema.parse(row.value));
  return { processes, outcomes, outages, log, endMs };
}

type Run = Awaited<ReturnType<typeof simulate>>;

const covers = (intervals: readonly Interval[], atMs: number) =>
  intervals.some(({ from, to }) => from <= atMs && atMs <= to);

const heldAt = (item: Process, atMs: number): number =>
  item.history.findLast((step) => step.atMs <= atMs)?.snapshot.revision ?? 0;

/** Whether a process that runs can read a revision from the store or from an entry that runs. */
function isReachable({ processes, outages }: Run, item: Process, revision: number, atMs: number) {
  if (covers(item.pausedMs, atMs)) return false;
  if (!covers(outages, atMs) && !covers(item.cutMs, atMs)) return true;
  return processes
    .slice(0, ENTRIES)
    .some((peer) => !covers(peer.pausedMs, atMs) && heldAt(peer, atMs) >= revision);
}

/** Time by which a process must hold a revision; the bound starts anew while it is out of reach. */
function dueAt(run: Run, item: Process, revision: number, acceptedMs: number): number {
  const fromMs = Math.max(acceptedMs, item.startsAtMs);
  let dueMs = fromMs + BOUND_MS;
  for (let atMs = fromMs; atMs <= dueMs; atMs += STEP_MS) {
    if (!isReachable(run, item, revision, atMs)) dueMs = atMs + STEP_MS + BOUND_MS;
  }
  return dueMs;
}

function check(claim: (run: Run) => void): Promise<void> {
  const property = fc.asyncProperty(scenario, async (input) => claim(await simulate(input)));
  return fc.assert(property, { seed: SEED, numRuns: RUNS });
}

test('an accepted change is in force everywhere within 5 s; else a drained server gets new work', () =>
  check((run) => {
    for (const { result, atMs } of run.outcomes) {
      if (!result.ok) continue;
      const { revision } = result.change;
      for (const item of run.processes) {
        const due = dueAt(run, item, revision, atMs);
        if (due > run.endMs) continue;
        const held = heldAt(item, due);
        assert.ok(
          held >= revision,
          `held ${held} at ${due} ms: accepted ${revision} at ${atMs} ms`,
        );
      }
    }
  }));

test('no process goes back to an older revision after stale reads, pauses or late messages', () =>
  check(({ processes }) => {
    for (const { history } of processes) {
      history.forEach(({ snapshot }, index) => {
        assert.ok(snapshot.revision > (history[index - 1]?.snapshot.revision ?? 0));
      });
    }
  }));

test('all processes end with the snapshot of the log; else entries route by different templates', () =>
  check(({ processes, log }) => {
    const expected = new ConfigurationState();
    for (const change of log) expected.apply({ after: change.revision - 1, changes: [change] });
    for (const { follower } of processes) {
      assert.deepEqual(follower.snapshot(), expected.snapshot);
    }
  }));

test('an accepted change is in the log once, a refused one never, whatever answers were lost', () =>
  check(({ outcomes, log }) => {
    log.forEach((change, index) => assert.equal(change.revision, index + 1));
    for (const { changeId, result } of outcomes) {
      const found = log.filter((change) => change.changeId === changeId);
      if (result.ok) {
        assert.deepEqual(
          found.map(({ revision }) => revision),
          [result.change.revision],
        );
      } else if (result.error.kind === 'ambiguous') {
        assert.ok(found.length <= 1);
      } else {
        assert.deepEqual(found, [], `${result.error.kind}, yet committed`);
      }
      if (!result.ok && result.error.kind === 'conflict') {
        assert.notEqual(result.error.winner?.changeId, changeId);
      }
    }
  }));
