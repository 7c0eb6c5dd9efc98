import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { SeededRandom } from '../time/SeededRandom.js';
import { StreamFleet, type StreamPolicy, type TakeUp } from './testing/StreamFleet.js';

const POLICY: StreamPolicy = { believesOnlyVersion: false, recordsSends: false };

const PROCESSES = 5;
const EVENTS = 120;
const RUNS = Number(process.env.STREAM_FLEET_RUNS ?? 300);

/** Steps after which the processes are in touch, and from the begin of streams to a failure. */
const CALM_STEPS = 12;
const STREAMING_STEPS = 6;

interface History {
  readonly seed: number;
  readonly events: readonly string[];
}

const eventNames = Object.keys(new StreamFleet(new SeededRandom(1), 1, POLICY).events);

const histories = fc.record({
  seed: fc.integer({ min: 0, max: 1_000_000 }),
  events: fc.array(fc.constantFrom(...eventNames, 'step', 'step', 'begin', 'begin', 'begin'), {
    minLength: EVENTS / 4,
    maxLength: EVENTS,
  }),
});

function createFleet(seed: number, policy: StreamPolicy): StreamFleet {
  return new StreamFleet(new SeededRandom(seed), PROCESSES, policy);
}

/** Plays a history, and takes up all streams after each event. */
function play({ seed, events }: History, policy: StreamPolicy): TakeUp[] {
  const fleet = createFleet(seed, policy);
  return events.flatMap((event) => {
    fleet.events[event]!();
    return fleet.takeUpAll();
  });
}

const countOf = (takeUps: readonly TakeUp[], outcome: TakeUp) =>
  takeUps.filter((each) => each === outcome).length;

function joinedIn(history: History, policy: StreamPolicy): number {
  return countOf(play(history, policy), 'joined');
}

/** Whether some histories end with joined streams. */
function findsFault(policy: StreamPolicy): boolean {
  const { failed } = fc.check(
    fc.property(histories, (history) => joinedIn(history, policy) === 0),
    { numRuns: RUNS, seed: 56 },
  );
  return failed;
}

// Guards against streams that go on at another version than the one that began them, and against
// processes that refuse what they could know, in any order of releases, cuts, pauses and restarts.
describe('streams that are taken up in any order of events', () => {
  it('never go on at another version', () => {
    fc.assert(
      fc.property(histories, (history) => assert.equal(joinedIn(history, POLICY), 0)),
      { numRuns: RUNS, seed: 56 },
    );
  });

  it('go on after the loss of one process or of all, once the processes are in touch', () => {
    fc.assert(
      fc.property(histories, ({ seed, events }) => {
        const fleet = createFleet(seed, POLICY);
        events.forEach((event) => fleet.events[event]!());
        fleet.mend();
        const pass = (steps: number) => {
          for (let step = 0; step < steps; step += 1) fleet.step();
        };
        pass(CALM_STEPS);
        [seed % PROCESSES, undefined].forEach((ended) => {
          fleet.beginEverywhere();
          pass(STREAMING_STEPS);
          const takeUps = fleet.takeUpAfterEnd(ended);
          const known = takeUps.filter((each) => each !== 'departed');
          const share = countOf(known, 'goes on') / known.length;
          assert.ok(share >= 0.5, `${share} go on after the end of ${ended ?? 'all'}`);
          fleet.mend();
        });
      }),
      { numRuns: RUNS, seed: 56 },
    );
  });

  it('show the fault of a process that believes in the only version that it knows', () => {
    assert.ok(findsFault({ ...POLICY, believesOnlyVersion: true }));
  });

  it('show the fault of a record that is older than the first event', () => {
    assert.ok(findsFault({ ...POLICY, recordsSends: true }));
  });
});
