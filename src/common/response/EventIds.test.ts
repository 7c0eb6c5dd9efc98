import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { isLaterEvent } from './EventIds.js';

describe('isLaterEvent', () => {
  it('orders whole numbers of any size', () => {
    // Guards against ids above 2^53, which are equal as numbers.
    const numbers = fc.bigInt({ min: 0n, max: 10n ** 30n });
    fc.assert(
      fc.property(numbers, numbers, fc.nat({ max: 2 }), (left, right, zeros) => {
        const [id, previous] = [`${'0'.repeat(zeros)}${left}`, `${right}`];
        assert.equal(isLaterEvent(id, previous), left > right);
        assert.equal(isLaterEvent(`${left + 1n}`, `${left}`), true);
      }),
    );
  });

  it('takes an event whose id cannot be compared for a later one', () => {
    assert.equal(isLaterEvent('1.5', '1'), true);
    assert.equal(isLaterEvent('0.5', '1'), false);
    assert.equal(isLaterEvent('abc', '1'), true);
  });
});
