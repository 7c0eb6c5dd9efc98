import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ConfigurationOrder } from './ConfigurationOrder.js';

/** Longer than a configuration has to settle, in ms. */
const LATER_MS = 1000;

/** @returns order of a process that read configurations 4 and 5 in the first era */
function createOrder(): ConfigurationOrder {
  const order = new ConfigurationOrder();
  order.offer({ version: 4, digest: 40, era: 1 }, 0);
  order.offer({ version: 5, digest: 50, era: 1 }, 0);
  return order;
}

describe('ConfigurationOrder', () => {
  it('ignores a lower number in the same era and an earlier content in a later one', () => {
    const order = createOrder();
    assert.equal(order.offer({ version: 3, digest: 30, era: 1 }, 0), 'older');
    assert.equal(order.offer({ version: 4, digest: 40, era: 2 }, 0), 'older');
    assert.equal(order.settle(LATER_MS), false);
    assert.equal(order.rank.version, 5);
  });

  it('accepts a number that was given out before once it has settled', () => {
    const order = createOrder();
    assert.equal(order.offer({ version: 5, digest: 51, era: 2 }, 0), 'pending');
    assert.equal(order.settle(1), false);
    assert.equal(order.settle(LATER_MS), true);
    assert.deepEqual(order.rank, { generation: 2, version: 5 });
    assert.equal(order.offer({ version: 6, digest: 60, era: 2 }, LATER_MS), 'in-force');
  });

  it('accepts it also if a second restore loses it before it has settled', () => {
    const order = createOrder();
    assert.equal(order.offer({ version: 3, digest: 31, era: 2 }, 0), 'pending');
    assert.equal(order.offer({ version: 4, digest: 40, era: 3 }, 100), 'older');
    assert.equal(order.offer({ version: 3, digest: 31, era: 3 }, 200), 'pending');
    assert.equal(order.settle(LATER_MS), true);
    assert.equal(order.rank.version, 3);
  });

  it('does not go back while an operator writes its configurations again in order', () => {
    const order = createOrder();
    assert.equal(order.offer({ version: 3, digest: 31, era: 2 }, 0), 'pending');
    assert.equal(order.offer({ version: 5, digest: 50, era: 2 }, 100), 'known');
    assert.equal(order.settle(LATER_MS), false);
    assert.equal(order.rank.version, 5);
  });

  it('believes a peer that has seen the number given out again, and not one that has not', () => {
    const restored = createOrder();
    restored.offer({ version: 3, digest: 31, era: 2 }, 0);
    restored.settle(LATER_MS);
    const earlier = createOrder();
    assert.equal(restored.merge(earlier.history, 50), false);
    assert.equal(earlier.merge(restored.history, 31), true);
    assert.equal(earlier.rank.version, 3);
  });

  it('does not take a leftover in the store for a new one after a start', () => {
    // A process that starts after the restore reads the leftover first and then asks a peer.
    const started = new ConfigurationOrder();
    started.offer({ version: 4, digest: 40, era: 2 }, 0);
    assert.equal(started.merge(createOrder().history, 50), true);
    assert.equal(started.offer({ version: 4, digest: 40, era: 2 }, 0), 'older');
    assert.equal(started.settle(LATER_MS), false);
  });

  it('agrees with its peers after any restores, changes and exchanges', () => {
    // Load pattern: restores at any moment, writes with any number, processes that miss some reads.
    const step = fc.record({
      isRestore: fc.boolean(),
      version: fc.integer({ min: 1, max: 6 }),
      readers: fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 3 }),
    });
    fc.assert(
      fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), (steps) => {
        const orders = [0, 1, 2].map(() => new ConfigurationOrder());
        const digests = orders.map(() => 0);
        let era = 1;
        let now = 0;
        steps.forEach(({ isRestore, version, readers }, index) => {
          era += Number(isRestore);
          now += LATER_MS;
          readers.forEach((reader) => {
            const outcome = orders[reader]!.offer({ version, digest: index + 1, era }, now);
            const hasSettled = orders[reader]!.settle(now + LATER_MS);
            if (outcome === 'in-force' || hasSettled) digests[reader] = index + 1;
          });
        });
        const exchange = () =>
          orders.forEach((order, index) =>
            orders.forEach((peer, from) => {
              if (order.merge(peer.history, digests[from]!)) digests[index] = digests[from]!;
            }),
          );
        exchange();
        exchange();
        const ranks = orders.map(({ rank }) => `${rank.generation}/${rank.version}`);
        assert.equal(new Set(ranks).size, 1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });
});
