import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Attempt } from '../protocol/Attempt.js';
import { NO_USAGE } from '../protocol/Usage.js';
import { Gate } from './Gate.js';
import { createAttempt } from './testing/AttemptFixture.js';
import type { GateEntry } from './GateEntry.js';
import type { GateEffect, RunEnd } from './Types.js';

const USAGE = { ...NO_USAGE, calls: 1 };
const DONE: RunEnd = { kind: 'done', output: '{}', usage: USAGE };

function createFixture(slots = 1, maxWaiting = 100) {
  const clock = { time: 0, now: () => clock.time, wallTime: () => clock.time };
  const gate = new Gate({ slots, maxWaiting, retentionMs: 60_000 }, clock);
  const effects: GateEffect[] = [];
  const takeEffects = () => {
    const taken = gate.takeEffects();
    effects.push(...taken);
    return taken;
  };
  const entriesOf = (kind: GateEffect['kind']) =>
    takeEffects().flatMap((effect) => (effect.kind === kind ? [effect.entry] : []));
  const submit = (fields: Partial<Attempt> = {}, stale = false) => {
    const attempt = createAttempt(fields);
    return { attempt, stream: gate.submit(attempt, 'digest', stale) };
  };
  /**
   * Runs all attempts one after another and returns them in the order in which they were started.
   */
  const runAll = (serviceMs: number) => {
    const order: GateEntry[] = [];
    for (let [entry] = entriesOf('run'); entry; [entry] = entriesOf('run')) {
      order.push(entry);
      clock.time += serviceMs;
      gate.runEnded(entry, DONE);
    }
    return order;
  };
  return { clock, gate, takeEffects, entriesOf, submit, runAll, effects };
}

function reasonOf(stream: { outcome: unknown }): string | undefined {
  return (stream.outcome as { reason?: string } | null)?.reason;
}

test('accounts are served in proportion to their weights (one must not starve the others)', () => {
  const { submit, runAll } = createFixture();
  submit({ account: 'first', remainingMs: 1e6 });
  for (let n = 0; n < 30; n += 1) submit({ account: 'heavy', weight: 2, remainingMs: 1e6 });
  for (let n = 0; n < 30; n += 1) submit({ account: 'light', weight: 1, remainingMs: 1e6 });
  const order = runAll(10).slice(1, 31);
  const heavy = order.filter((entry) => entry.attempt.account === 'heavy').length;
  assert.ok(Math.abs(heavy - 20) <= 1, `${heavy} of 30 runs`);
});

test('an account that was idle gains no credit (it would otherwise block the busy ones)', () => {
  const { submit, runAll } = createFixture();
  for (let n = 0; n < 50; n += 1) submit({ account: 'busy', remainingMs: 1e6 });
  runAll(10);
  submit({ account: 'first', remainingMs: 1e6 });
  for (let n = 0; n < 20; n += 1) submit({ account: 'busy', remainingMs: 1e6 });
  for (let n = 0; n < 20; n += 1) submit({ account: 'idle', remainingMs: 1e6 });
  const order = runAll(10).slice(1, 21);
  const idle = order.filter((entry) => entry.attempt.account === 'idle').length;
  assert.ok(Math.abs(idle - 10) <= 1, `${idle} of 20 runs`);
});

test('attempts of one account run in order of their deadlines', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 5000, max: 9000 }), { maxLength: 20 }), (times) => {
      const { submit, runAll } = createFixture();
      submit();
      times.forEach((remainingMs) => submit({ remainingMs }));
      const deadlines = runAll(0)
        .map((entry) => entry.deadline)
        .slice(1);
      assert.deepEqual(
        deadlines,
        [...deadlines].sort((left, right) => left - right),
      );
    }),
    { seed: 1 },
  );
});

test('an attempt that cannot finish in time is refused at arrival and before hand-off', () => {
  const { submit, runAll, clock, gate, entriesOf } = createFixture();
  submit();
  runAll(100);
  assert.equal(reasonOf(submit({ remainingMs: 90 }).stream), 'infeasible');
  submit();
  const waiting = submit({ remainingMs: 250 });
  const late = submit({ remainingMs: 250 });
  assert.equal(waiting.stream.outcome, null);
  assert.equal(reasonOf(late.stream), 'infeasible', 'the queue is too long');
  const [running] = entriesOf('run');
  clock.time += 160;
  gate.runEnded(running!, DONE);
  assert.equal(reasonOf(waiting.stream), 'infeasible');
  assert.deepEqual(entriesOf('run'), []);
});

test('an estimate from a slow period expires (it must not refuse all attempts forever)', () => {
  const { submit, runAll, clock } = createFixture();
  submit({ remainingMs: 1e6 });
  runAll(9000);
  assert.equal(reasonOf(submit().stream), 'infeasible');
  clock.time += 5001;
  assert.equal(submit().stream.outcome, null);
});

test('attempts beyond the queue limit or with an outdated configuration are refused', () => {
  const { submit } = createFixture(1, 1);
  submit();
  submit();
  assert.equal(reasonOf(submit().stream), 'queue-full');
  assert.equal(reasonOf(submit({}, true).stream), 'stale-revision');
});

test('a full queue drops attempts of the busiest account (bursts must not lock others out)', () => {
  const { submit } = createFixture(1, 4);
  submit({ account: 'flood' });
  const flood = [1, 2, 3, 4].map(() => submit({ account: 'flood' }));
  const other = submit({ account: 'other' });
  assert.equal(other.stream.outcome, null, 'the other account waits');
  assert.equal(flood.filter(({ stream }) => reasonOf(stream) === 'queue-full').length, 1);
  assert.equal(reasonOf(submit({ account: 'flood' }).stream), 'queue-full');
});

test('a drain refuses waiting and claiming attempts; a claim acquired later is released', () => {
  const { submit, gate, entriesOf, takeEffects } = createFixture(2);
  const claiming = submit({ idempotent: false, idempotencyKey: 'key' });
  const running = submit();
  const waiting = submit();
  const [claim] = takeEffects().flatMap((effect) =>
    effect.kind === 'claim' ? [effect.entry] : [],
  );
  gate.drain();
  assert.equal(reasonOf(claiming.stream), 'draining');
  assert.equal(reasonOf(waiting.stream), 'draining');
  assert.equal(reasonOf(submit().stream), 'draining');
  assert.equal(running.stream.outcome, null);
  gate.claimEnded(claim!, { kind: 'acquired' });
  assert.deepEqual(
    takeEffects().flatMap((effect) => (effect.kind === 'settle-claim' ? [effect.target] : [])),
    ['void'],
  );
  gate.resume();
  submit();
  assert.equal(entriesOf('run').length, 1);
});

test('a long claim request yields its slot to idempotent work (slow store must not block)', () => {
  const { submit, gate, clock, entriesOf } = createFixture(1);
  submit({ idempotent: false, idempotencyKey: 'key' });
  submit();
  assert.equal(entriesOf('run').length, 0);
  clock.time += 60;
  gate.checkDeadlines();
  assert.equal(entriesOf('run').length, 1);
});

test('a claim acquired after the deadline is released without a run (paused process)', () => {
  const { submit, gate, clock, takeEffects } = createFixture(1);
  const { stream } = submit({ idempotent: false, idempotencyKey: 'key', remainingMs: 1000 });
  const [claim] = takeEffects();
  clock.time += 1001;
  gate.claimEnded(claim!.entry, { kind: 'acquired' });
  assert.equal(reasonOf(stream), 'infeasible');
  const kinds = takeEffects().map((effect) => effect.kind);
  assert.ok(kinds.includes('settle-claim') && !kinds.includes('run'));
});

test('usage is counted once, as useful only if a returned result was used', () => {
  const cases: [string | null, (gate: Gate, entry: GateEntry) => void][] = [
    ['useful', (gate, entry) => gate.runEnded(entry, DONE)],
    [
      'overhead',
      (gate, entry) => gate.runEnded(entry, { kind: 'failed', message: '', usage: USAGE }),
    ],
    [
      'overhead',
      (gate, entry) => gate.runEnded(entry, { kind: 'lost', message: '', usage: USAGE }),
    ],
    [null, (gate, entry) => gate.runEnded(entry, { kind: 'unreachable', message: '' })],
  ];
  for (const [expected, end] of cases) {
    const { submit, gate, takeEffects, effects, entriesOf } = createFixture();
    const { attempt } = submit();
    end(gate, entriesOf('run')[0]!);
    const acknowledgement = { attemptId: attempt.attemptId, won: true };
    gate.acknowledge(acknowledgement);
    gate.acknowledge(acknowledgement);
    gate.expireRetained();
    takeEffects();
    const classes = effects.flatMap((effect) => (effect.kind === 'meter' ? effect.usageClass : []));
    assert.deepEqual(classes, expected === null ? [] : [expected]);
  }
});

test('an unacknowledged result is deleted after the retention time and counted as overhead', () => {
  const { submit, gate, clock, takeEffects, entriesOf } = createFixture();
  const { attempt } = submit();
  gate.runEnded(entriesOf('run')[0]!, DONE);
  clock.time += 60_001;
  takeEffects();
  gate.expireRetained();
  assert.deepEqual(
    takeEffects().map((effect) => (effect.kind === 'meter' ? effect.usageClass : effect.kind)),
    ['overhead'],
  );
  assert.equal(gate.size, 0);
  const again = gate.submit(attempt, 'digest', false);
  assert.equal(again.outcome?.type, 'failed', 'a delayed copy must not start a second run');
});

test('a voided attempt is refused for 16 min (a copy delayed in the network must not run)', () => {
  const { gate, clock } = createFixture();
  const attempt = createAttempt();
  assert.equal(gate.voidAttempt(attempt.attemptId), 'voided');
  clock.time += 16 * 60_000;
  gate.expireRetained();
  assert.equal(reasonOf(gate.submit(attempt, 'digest', false)), 'voided');
});

test('another input or account under a known attempt id is refused (no mix-up of results)', () => {
  const { submit, gate } = createFixture();
  const { attempt } = submit();
  assert.equal(reasonOf(gate.submit(attempt, 'other', false)), 'attempt-mismatch');
  assert.equal(
    reasonOf(gate.submit({ ...attempt, account: 'other' }, 'digest', false)),
    'attempt-mismatch',
  );
});

test('cancelling aborts an idempotent run, while a non-idempotent run continues', () => {
  const { submit, gate, takeEffects } = createFixture(2);
  const idempotent = submit();
  const claimed = submit({ idempotent: false, idempotencyKey: 'key' });
  const claim = takeEffects().find((effect) => effect.kind === 'claim');
  gate.claimEnded(claim!.entry, { kind: 'acquired' });
  takeEffects();
  assert.equal(gate.cancel(idempotent.attempt.attemptId), 'running');
  assert.equal(gate.cancel(claimed.attempt.attemptId), 'running');
  const aborted = takeEffects().map((effect) => [effect.kind, effect.entry.id]);
  assert.deepEqual(aborted, [['abort', idempotent.attempt.attemptId]]);
});

test('a copy of a refused attempt is refused too (a refusal means that it never runs)', () => {
  const { submit, gate, entriesOf } = createFixture();
  gate.drain();
  const { attempt } = submit();
  gate.resume();
  assert.equal(reasonOf(gate.submit(attempt, 'digest', false)), 'draining');
  assert.deepEqual(entriesOf('run'), []);
});

test('an attempt is retained until its claim row is final (a copy must not claim it again)', () => {
  const { submit, gate, clock, takeEffects } = createFixture();
  const { attempt } = submit({ idempotent: false, idempotencyKey: 'key' });
  const [claim] = takeEffects();
  gate.voidAttempt(attempt.attemptId);
  gate.claimEnded(claim!.entry, { kind: 'unavailable', message: '', mayExist: true });
  clock.time += 60 * 60_000;
  gate.expireRetained();
  assert.equal(reasonOf(gate.submit(attempt, 'digest', false)), 'voided');
  gate.claimSettled(claim!.entry);
  clock.time += 20 * 60_000;
  gate.expireRetained();
  assert.equal(gate.status(attempt.attemptId), 'unknown');
});
