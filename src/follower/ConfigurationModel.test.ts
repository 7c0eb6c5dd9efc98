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
const PROPAGATION_BOUND_MS = 5000;
/** Time within which the events of a run begin. */
const ACTIVE_MS = 20_000;
/** Longest duration of one fault. */
const LONGEST_FAULT_MS = 6000;
const STALE_MS = 500;
/** Share of calls between processes that are lost and never answered. */
const UNANSWERED_SHARE = 0.05;
/** Step of the search for times at which a process cannot reach a revision. */
const REACHABILITY_STEP_MS = 50;
const ENTRIES = 3;
const PROCESSES = 6;
const logger = createLogger('test', 'error');

const processIndex = fc.nat(PROCESSES - 1);
const faultInterval = {
  atMs: fc.nat(ACTIVE_MS),
  forMs: fc.integer({ min: 100, max: LONGEST_FAULT_MS }),
};
const event = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('publish' as const),
      // Few distinct times, so that publishers race.
      atMs: fc.integer({ min: 1, max: 40 }).map((step) => step * 500),
      entry: fc.nat(ENTRIES - 1),
      server: fc.nat(3),
      draining: fc.boolean(),
    }),
  },
  fc.record({ kind: fc.constant('outage' as const), ...faultInterval }),
  fc.record({
    kind: fc.constant('lost' as const),
    share: fc.double({ min: 0.2, max: 1, noNaN: true }),
    ...faultInterval,
  }),
  fc.record({ kind: fc.constant('stale' as const), ...faultInterval }),
  fc.record({ kind: fc.constant('pause' as const), process: processIndex, ...faultInterval }),
  fc.record({ kind: fc.constant('cut' as const), process: processIndex, ...faultInterval }),
);
const scenario = fc.record({
  seed: fc.nat(1e6),
  events: fc.array(event, { minLength: 4, maxLength: 24 }),
  /** Share of change notices that are lost. */
  noticeLoss: fc.constantFrom(0, 0.5, 1),
  /** Start time of each process, in ms. */
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
  readonly pausedIntervals: Interval[];
  readonly cutOffIntervals: Interval[];
  history: { atMs: number; snapshot: ConfigurationSnapshot }[];
  cutOffUntilMs: number;
}

interface PublishOutcome {
  readonly changeId: string;
  readonly atMs: number;
  readonly result: PublishResult;
}

/** @returns processes, outcomes of publications, outages and committed log of a scenario */
async function simulate({ seed, events, noticeLoss, startsAtMs }: Scenario) {
  const time = new SimulatedTime();
  const random = new SeededRandom(seed);
  const store = new SimulatedStore(time, random);
  const environment: SimulatedProcess = { pausedUntilMs: 0 };
  const processes: Process[] = [];
  const outcomes: PublishOutcome[] = [];
  const outages: Interval[] = [];

  /** Calls another process; a paused target or caller delays the answer. */
  const sendCall = <T>(
    caller: SimulatedProcess,
    target: SimulatedProcess,
    serve: () => Promise<T>,
  ) =>
    new Promise<T>((resolve, reject) => {
      if (random.next() < UNANSWERED_SHARE) return;
      time.timersOf(target).after(random.next() * 20, () => {
        serve().then(
          (value) => time.timersOf(caller).after(random.next() * 20, () => resolve(value)),
          reject,
        );
      });
    });
  const isStarted = (peer: Process) => peer.startsAtMs <= time.now();

  startsAtMs.forEach((startAtMs, index) => {
    const initialState = {
      pausedUntilMs: 0,
      startsAtMs: startAtMs,
      pausedIntervals: [],
      cutOffIntervals: [],
      history: [],
      cutOffUntilMs: 0,
    };
    const self = initialState as unknown as Process;
    const follower = new ConfigurationFollower({
      store: store.clientOf(self, () => self.cutOffUntilMs > time.now()),
      clock: time,
      random,
      pollIntervalMs: index < ENTRIES ? 1000 : 4000,
      peers: async () =>
        processes
          .slice(0, ENTRIES)
          .filter((peer) => peer !== self && isStarted(peer))
          .map((peer) => ({
            since: (after) => sendCall(self, peer, () => peer.follower.since(after)),
          })),
      logger,
      timers: time.timersOf(self),
      condensedFrom: 2,
    });
    follower.onChange((snapshot) => self.history.push({ atMs: time.now(), snapshot }));
    processes.push(Object.assign(self, { follower }));
    time.timersOf(environment).after(startAtMs, () => {
      follower.start().catch(assert.ifError);
    });
  });

  const notifierOf = (self: Process) => ({
    notify: async (changes: readonly Change[]) => {
      for (const peer of processes) {
        if (peer === self || !isStarted(peer) || random.next() < noticeLoss) continue;
        sendCall(self, peer, () => peer.follower.notify(changes)).catch(() => undefined);
      }
    },
  });
  const publishers = processes.slice(0, ENTRIES).map(
    (self) =>
      new ConfigurationPublisher({
        store: store.clientOf(self, () => self.cutOffUntilMs > time.now()),
        clock: time,
        source: self.follower,
        notifier: notifierOf(self),
        logger,
        timers: time.timersOf(self),
        // Small, so that processes that start late or were cut off read the condensed log.
        condenseInterval: 3,
      }),
  );
  const startEvent = (item: Scenario['events'][number], index: number): void => {
    const untilMs = 'forMs' in item ? time.now() + item.forMs : 0;
    const atEnd = (action: () => void) =>
      time.timersOf(environment).after(untilMs - time.now(), action);
    if (item.kind === 'outage') {
      store.faults.downUntilMs = Math.max(store.faults.downUntilMs, untilMs);
      outages.push({ from: time.now(), to: untilMs });
    } else if (item.kind === 'lost') {
      store.faults.lostShare = item.share;
      atEnd(() => Object.assign(store.faults, { lostShare: 0 }));
    } else if (item.kind === 'stale') {
      store.faults.staleMs = STALE_MS;
      atEnd(() => Object.assign(store.faults, { staleMs: 0 }));
    } else if (item.kind === 'cut') {
      const target = processes[item.process]!;
      target.cutOffUntilMs = Math.max(target.cutOffUntilMs, untilMs);
      target.cutOffIntervals.push({ from: time.now(), to: untilMs });
    } else if (item.kind === 'pause') {
      const target = processes[item.process]!;
      target.pausedUntilMs = Math.max(target.pausedUntilMs, untilMs);
      target.pausedIntervals.push({ from: time.now(), to: untilMs });
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
  events.forEach((item, index) =>
    time.timersOf(environment).after(item.atMs, () => startEvent(item, index)),
  );
  // Leaves time for the last fault to end, publishers to give up and all processes to poll again.
  const endMs = ACTIVE_MS + LONGEST_FAULT_MS + 12_000 + PROPAGATION_BOUND_MS;
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

const revisionAt = (item: Process, atMs: number): number =>
  item.history.findLast((step) => step.atMs <= atMs)?.snapshot.revision ?? 0;

/** Whether a running process can read a revision from the store or from a running entry. */
function isReachable({ processes, outages }: Run, item: Process, revision: number, atMs: number) {
  if (covers(item.pausedIntervals, atMs)) return false;
  if (!covers(outages, atMs) && !covers(item.cutOffIntervals, atMs)) return true;
  return processes
    .slice(0, ENTRIES)
    .some((peer) => !covers(peer.pausedIntervals, atMs) && revisionAt(peer, atMs) >= revision);
}

/**
 * Time by which a process must hold a revision. The bound restarts whenever the process cannot
 * reach the revision.
 */
function dueAt(run: Run, item: Process, revision: number, acceptedMs: number): number {
  const fromMs = Math.max(acceptedMs, item.startsAtMs);
  let dueMs = fromMs + PROPAGATION_BOUND_MS;
  for (let atMs = fromMs; atMs <= dueMs; atMs += REACHABILITY_STEP_MS) {
    if (!isReachable(run, item, revision, atMs))
      dueMs = atMs + REACHABILITY_STEP_MS + PROPAGATION_BOUND_MS;
  }
  return dueMs;
}

function checkProperty(assertRun: (run: Run) => void): Promise<void> {
  const property = fc.asyncProperty(scenario, async (input) => assertRun(await simulate(input)));
  return fc.assert(property, { seed: SEED, numRuns: RUNS });
}

test('an accepted change is in force everywhere within 5 s, so drained servers get no new work', () =>
  checkProperty((run) => {
    for (const { result, atMs } of run.outcomes) {
      if (!result.ok) continue;
      const { revision } = result.change;
      for (const item of run.processes) {
        const due = dueAt(run, item, revision, atMs);
        if (due > run.endMs) continue;
        const held = revisionAt(item, due);
        assert.ok(
          held >= revision,
          `expected revision ${revision}, accepted at ${atMs} ms, by ${due} ms; got ${held}`,
        );
      }
    }
  }));

test('no process reverts to an older revision after stale reads, pauses or late messages', () =>
  checkProperty(({ processes }) => {
    for (const { history } of processes) {
      history.forEach(({ snapshot }, index) => {
        assert.ok(snapshot.revision > (history[index - 1]?.snapshot.revision ?? 0));
      });
    }
  }));

test('all processes converge to the snapshot of the log, so entries route by the same templates', () =>
  checkProperty(({ processes, log }) => {
    const expected = new ConfigurationState();
    for (const change of log) expected.apply({ after: change.revision - 1, changes: [change] });
    for (const { follower } of processes) {
      assert.deepEqual(follower.snapshot(), expected.snapshot);
    }
  }));

test('despite lost answers, an accepted change is in the log exactly once and a refused one never', () =>
  checkProperty(({ outcomes, log }) => {
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
        assert.deepEqual(found, [], `change reported as ${result.error.kind} was committed`);
      }
      if (!result.ok && result.error.kind === 'conflict') {
        assert.notEqual(result.error.winner?.changeId, changeId);
      }
    }
  }));
