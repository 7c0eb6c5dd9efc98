import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { pollWaitMs } from './PollSchedule.js';

const SPACING_MS = 750;
const PERIOD_MS = 25_000;

/** @returns times at which polls of a fleet end after a change at 0, sorted, in ms */
function replayPolls(count: number): number[] {
  return Array.from({ length: count }, (_, rank) => {
    const ends: number[] = [];
    let now = 0;
    while (now < 2 * PERIOD_MS) {
      now += pollWaitMs(SPACING_MS, { rank, count }, now === 0);
      ends.push(now);
    }
    return ends;
  })
    .flat()
    .sort((left, right) => left - right);
}

describe('replayed long polls of a fleet', () => {
  it('end one after the other, so that a connection that goes silent is noticed soon', () => {
    // Guards against polls that start together after a change and all end many seconds later.
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 68 }),
        fc.integer({ min: 0, max: PERIOD_MS }),
        (count, silentAt) => {
          const next = replayPolls(count).find((end) => end > silentAt)!;
          assert.ok(next - silentAt <= SPACING_MS + 1, `${next - silentAt} ms, ${count} processes`);
        },
      ),
      { seed: 36 },
    );
  });

  it('are as many in a large fleet as in a small one', () => {
    const pollsOf = (count: number) => replayPolls(count).filter((end) => end <= PERIOD_MS).length;
    [2, 5, 22, 33].forEach((count) => assert.ok(pollsOf(count) <= pollsOf(1) + 1, `${count}`));
    // Beyond that, the longest wait that the store allows limits the effect.
    assert.ok(pollsOf(68) <= 2.2 * pollsOf(1));
  });
});
