import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Attempt } from '../protocol/Attempt.js';
import { NO_USAGE } from '../protocol/Usage.js';
import { AttemptStateMachine } from './AttemptStateMachine.js';
import { createAttempt } from './testing/AttemptFixture.js';
import type { AttemptRecord } from './AttemptRecord.js';
import type { AttemptEffect, RunResult } from './Types.js';

const USAGE = { ...NO_USAGE, calls: 1 };
const DONE: RunResult = { kind: 'done', output: '{}', usage: USAGE };

function createFixture(slots = 1, maxWaiting = 100) {
  const clock = { time: 0, now: () => clock.time, wallTime: () => clock.time };
  const stateMachine = new AttemptStateMachine({ slots, maxWaiting, retentionMs: 60_000 }, clock);
  const effects: AttemptEffect[] = [];
  const dequeueEffects = () => {
    const taken = stateMachine.dequeueEffects();
    effects.push(...taken);
    return taken;
  };
  const recordsOf = (kind: AttemptEffect['kind']) =>
    dequeueEffects().flatMap((effect) => (effect.kind === kind ? [effect.record] : []));
  const submit = (fields: Partial<Attempt> = {}, stale = false) => {
    const attempt = createAttempt(fields);
    return { attempt, output: stateMachine.submit(attempt, 'digest', stale) };
  };
  /**
   * Runs all attempts one after another and returns them in the order in which they were started.
   */
  const runAll = (serviceMs: number) => {
    const order: AttemptRecord[] = [];
    for (let [record] = recordsOf('run'); record; [record] = recordsOf('run')) {
      order.push(record);
      clock.time += serviceMs;
      stateMachine.runEnded(record, DONE);
    }
    return order;
  };
  return { clock, stateMachine, dequeueEffects, recordsOf, submit, runAll, effects };
}

function reasonOf(output: { outcome: unknown }): string | undefined {
  return (output.outcome as { reason?: string } | null)?.reason;
}

test('accounts are served in proportion to their weights (one must not starve the others)', () => {
  const { submit, runAll } = createFixture();
  submit({ account: 'first', remainingMs: 1e6 });
  for (let n = 0; n < 30; n += 1) submit({ account: 'heavy', weight: 2, remainingMs: 1e6 });
  for (let n = 0; n < 30; n += 1) submit({ account: 'light', weight: 1, remainingMs: 1e6 });
  const order = runAll(10).slice(1, 31);
  const heavy = order.filter((record) => record.attempt.account === 'heavy').length;
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
  const idle = order.filter((record) => record.attempt.account === 'idle').length;
  assert.ok(Math.abs(idle - 10) <= 1, `${idle} of 20 runs`);
});

test('attempts of one account run in order of their deadlines', () => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 5000, max: 9000 }), { maxLength: 20 }), (times) => {
      const { submit, runAll } = createFixture();
      submit();
      times.forEach((remainingMs) => submit({ remainingMs }));
      const deadlines = runAll(0)
        .map((record) => record.deadline)
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
  const { submit, runAll, clock, stateMachine, recordsOf } = createFixture();
  submit();
  runAll(100);
  assert.equal(reasonOf(submit({ remainingMs: 90 }).output), 'infeasible');
  submit();
  const waiting = submit({ remainingMs: 250 });
  const late = submit({ remainingMs: 250 });
  assert.equal(waiting.output.outcome, null);
  assert.equal(reasonOf(late.output), 'infeasible', 'the queue is too long');
  const [running] = recordsOf('run');
  clock.time += 160;
  stateMachine.runEnded(running!, DONE);
  assert.equal(reasonOf(waiting.output), 'infeasible');
  assert.deepEqual(recordsOf('run'), []);
});

test('an estimate from a slow period expires (it must not refuse all attempts forever)', () => {
  const { submit, runAll, clock } = createFixture();
  submit({ remainingMs: 1e6 });
  runAll(9000);
  assert.equal(reasonOf(submit().output), 'infeasible');
  clock.time += 5001;
  assert.equal(submit().output.outcome, null);
});

test('attempts beyond the queue limit or with an outdated configuration are refused', () => {
  const { submit } = createFixture(1, 1);
  submit();
  submit();
  assert.equal(reasonOf(submit().output), 'queue-full');
  assert.equal(reasonOf(submit({}, true).output), 'stale-revision');
});

test('a full queue drops attempts of the busiest account (bursts must not lock others out)', () => {
  const { submit } = createFixture(1, 4);
  submit({ account: 'flood' });
  const flood = [1, 2, 3, 4].map(() => submit({ account: 'flood' }));
  const other = submit({ account: 'other' });
  assert.equal(other.output.outcome, null, 'the other account waits');
  assert.equal(flood.filter(({ output }) => reasonOf(output) === 'queue-full').length, 1);
  assert.equal(reasonOf(submit({ account: 'flood' }).output), 'queue-full');
});

test('a drain refuses waiting and claiming attempts; a claim acquired later is released', () => {
  const { submit, stateMachine, recordsOf, dequeueEffects } = createFixture(2);
  const claiming = submit({ idempotent: false, idempotencyKey: 'key' });
  const running = submit();
  const waiting = submit();
  const [claim] = dequeueEffects().flatMap((effect) =>
    effect.kind === 'claim' ? [effect.record] : [],
  );
  stateMachine.drain();
  assert.equal(reasonOf(claiming.output), 'draining');
  assert.equal(reasonOf(waiting.output), 'draining');
  assert.equal(reasonOf(submit().output), 'draining');
  assert.equal(running.output.outcome, null);
  stateMachine.claimEnded(claim!, { kind: 'acquired' });
  assert.deepEqual(
    dequeueEffects().flatMap((effect) => (effect.kind === 'settle-claim' ? [effect.target] : [])),
    ['void'],
  );
  stateMachine.resume();
  submit();
  assert.equal(recordsOf('run').length, 1);
});

test('a long claim request yields its slot to idempotent work (slow store must not block)', () => {
  const { submit, stateMachine, clock, recordsOf } = createFixture(1);
  submit({ idempotent: false, idempotencyKey: 'key' });
  submit();
  assert.equal(recordsOf('run').length, 0);
  clock.time += 60;
  stateMachine.checkDeadlines();
  assert.equal(recordsOf('run').length, 1);
});

test('a claim acquired after the deadline is released without a run (paused process)', () => {
  const { submit, stateMachine, clock, dequeueEffects } = createFixture(1);
  const { output } = submit({ idempotent: false, idempotencyKey: 'key', remainingMs: 1000 });
  const [claim] = dequeueEffects();
  clock.time += 1001;
  stateMachine.claimEnded(claim!.record, { kind: 'acquired' });
  assert.equal(reasonOf(output), 'infeasible');
  const kinds = dequeueEffects().map((effect) => effect.kind);
  assert.ok(kinds.includes('settle-claim') && !kinds.includes('run'));
});

test('usage is counted once, as useful only if a returned result was used', () => {
  const cases: [
    string | null,
    (stateMachine: AttemptStateMachine, record: AttemptRecord) => void,
  ][] = [
    ['useful', (stateMachine, record) => stateMachine.runEnded(record, DONE)],
    [
      'overhead',
      (stateMachine, record) =>
        stateMachine.runEnded(record, { kind: 'failed', message: '', usage: USAGE }),
    ],
    [
      'overhead',
      (stateMachine, record) =>
        stateMachine.runEnded(record, { kind: 'lost', message: '', usage: USAGE }),
    ],
    [
      null,
      (stateMachine, record) => stateMachine.runEnded(record, { kind: 'unreachable', message: '' }),
    ],
  ];
  for (const [expected, end] of cases) {
    const { submit, stateMachine, dequeueEffects, effects, recordsOf } = createFixture();
    const { attempt } = submit();
    end(stateMachine, recordsOf('run')[0]!);
    const acknowledgement = { attemptId: attempt.attemptId, won: true };
    stateMachine.acknowledge(acknowledgement);
    stateMachine.acknowledge(acknowledgement);
    stateMachine.expireRetained();
    dequeueEffects();
    const classes = effects.flatMap((effect) => (effect.kind === 'meter' ? effect.usageClass : []));
    assert.deepEqual(classes, expected === null ? [] : [expected]);
  }
});

test('an unacknowledged result is deleted after the retention time and counted as overhead', () => {
  const { submit, stateMachine, clock, dequeueEffects, recordsOf } = createFixture();
  const { attempt } = submit();
  stateMachine.runEnded(recordsOf('run')[0]!, DONE);
  clock.time += 60_001;
  dequeueEffects();
  stateMachine.expireRetained();
  assert.deepEqual(
    dequeueEffects().map((effect) => (effect.kind === 'meter' ? effect.usageClass : effect.kind)),
    ['overhead'],
  );
  assert.equal(stateMachine.size, 0);
  const again = stateMachine.submit(attempt, 'digest', false);
  assert.equal(again.outcome?.type, 'failed', 'a delayed copy must not start a second run');
});

test('a voided attempt is refused for 16 min (a copy delayed in the network must not run)', () => {
  const { stateMachine, clock } = createFixture();
  const attempt = createAttempt();
  assert.equal(stateMachine.voidAttempt(attempt.attemptId), 'voided');
  clock.time += 16 * 60_000;
  stateMachine.expireRetained();
  assert.equal(reasonOf(stateMachine.submit(attempt, 'digest', false)), 'voided');
});

test('another input or account under a known attempt id is refused (no mix-up of results)', () => {
  const { submit, stateMachine } = createFixture();
  const { attempt } = submit();
  assert.equal(reasonOf(stateMachine.submit(attempt, 'other', false)), 'attempt-mismatch');
  assert.equal(
    reasonOf(stateMachine.submit({ ...attempt, account: 'other' }, 'digest', false)),
    'attempt-mismatch',
  );
});

test('cancelling aborts an idempotent run, while a non-idempotent run continues', () => {
  const { submit, stateMachine, dequeueEffects } = createFixture(2);
  const idempotent = submit();
  const claimed = submit({ idempotent: false, idempotencyKey: 'key' });
  const claim = dequeueEffects().find((effect) => effect.kind === 'claim');
  stateMachine.claimEnded(claim!.record, { kind: 'acquired' });
  dequeueEffects();
  assert.equal(stateMachine.cancel(idempotent.attempt.attemptId), 'running');
  assert.equal(stateMachine.cancel(claimed.attempt.attemptId), 'running');
  const aborted = dequeueEffects().map((effect) => [effect.kind, effect.record.id]);
  assert.deepEqual(aborted, [['abort', idempotent.attempt.attemptId]]);
});

test('a copy of a refused attempt is refused too (a refusal means that it never runs)', () => {
  const { submit, stateMachine, recordsOf } = createFixture();
  stateMachine.drain();
  const { attempt } = submit();
  stateMachine.resume();
  assert.equal(reasonOf(stateMachine.submit(attempt, 'digest', false)), 'draining');
  assert.deepEqual(recordsOf('run'), []);
});

test('an attempt is retained until its claim row is final (a copy must not claim it again)', () => {
  const { submit, stateMachine, clock, dequeueEffects } = createFixture();
  const { attempt } = submit({ idempotent: false, idempotencyKey: 'key' });
  const [claim] = dequeueEffects();
  stateMachine.voidAttempt(attempt.attemptId);
  stateMachine.claimEnded(claim!.record, { kind: 'unavailable', message: '', mayExist: true });
  clock.time += 60 * 60_000;
  stateMachine.expireRetained();
  assert.equal(reasonOf(stateMachine.submit(attempt, 'digest', false)), 'voided');
  stateMachine.claimSettled(claim!.record);
  clock.time += 20 * 60_000;
  stateMachine.expireRetained();
  assert.equal(stateMachine.status(attempt.attemptId), 'unknown');
});
