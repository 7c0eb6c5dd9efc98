import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ByteAllowance } from './ByteAllowance.js';

describe('ByteAllowance', () => {
  it('allows a burst of one second and then the rate', () => {
    const allowance = new ByteAllowance(1000);
    assert.equal(allowance.spend(1000, 0), 0);
    assert.equal(allowance.spend(500, 0), 500);
    assert.equal(allowance.spend(0, 400), 100);
    assert.equal(allowance.spend(0, 500), 0);
    assert.equal(allowance.spend(1000, 60_000), 0);
  });

  it('lets no more through than the rate if each overdraft is waited for', () => {
    // Load pattern: a sender that sends as fast as it is read, in pieces of any size.
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 3000 }), { maxLength: 200 }), (pieces) => {
        const allowance = new ByteAllowance(1000);
        let now = 0;
        let total = 0;
        pieces.forEach((bytes) => {
          total += bytes;
          now += allowance.spend(bytes, now);
        });
        assert.ok(total <= 1000 + now + 1, `${total} bytes in ${now} ms`);
      }),
      { seed: 3 },
    );
  });
});
