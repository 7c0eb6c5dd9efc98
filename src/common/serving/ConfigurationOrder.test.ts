import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { ConfigurationOrder } from './ConfigurationOrder.js';

/** Longer than a configuration has to settle, in ms. */
const LATER_MS = 1000;

/** @returns configuration whose row was written at the version of the store */
function createConfiguration(version: number, digest: number, era: number, row: number) {
  return { version, digest, position: { era, version: row } };
}

/** @returns order of a process that read configurations 1, 4 and 5 in the first era */
function createOrder(): ConfigurationOrder {
  const order = new ConfigurationOrder();
  order.offer(createConfiguration(1, 10, 1, 10), 0);
  order.offer(createConfiguration(4, 40, 1, 40), 0);
  order.offer(createConfiguration(5, 50, 1, 50), 0);
  return order;
}

const versionOf = (order: ConfigurationOrder) => order.state?.inForce.version;

describe('ConfigurationOrder', () => {
  it('ignores a lower number in the same era and an earlier content in a later one', () => {
    const order = createOrder();
    assert.equal(order.offer(createConfiguration(3, 30, 1, 60), 0), 'older');
    assert.equal(order.offer(createConfiguration(4, 40, 2, 40), 0), 'leftover');
    assert.equal(order.settle(LATER_MS), false);
    assert.equal(versionOf(order), 5);
  });

  it('accepts a number that was given out before once it has settled', () => {
    const order = createOrder();
    assert.equal(order.offer(createConfiguration(5, 51, 2, 46), 0), 'pending');
    assert.equal(order.settle(1), false);
    assert.equal(order.settle(LATER_MS), true);
    const expected = { ...createConfiguration(5, 51, 2, 46), isWritten: false };
    assert.deepEqual(order.state?.inForce, expected);
    assert.equal(order.offer(createConfiguration(6, 60, 2, 60), LATER_MS), 'in-force');
  });

  it('accepts it also if a second restore loses it before it has settled', () => {
    const order = createOrder();
    assert.equal(order.offer(createConfiguration(3, 31, 2, 46), 0), 'pending');
    assert.equal(order.offer(createConfiguration(4, 40, 3, 40), 100), 'leftover');
    assert.equal(order.offer(createConfiguration(3, 31, 3, 46), 200), 'pending');
    assert.equal(order.settle(LATER_MS), true);
    assert.equal(versionOf(order), 3);
  });

  it('does not go back while an operator writes its configurations again in order', () => {
    const order = createOrder();
    assert.equal(order.offer(createConfiguration(3, 31, 2, 46), 0), 'pending');
    assert.equal(order.offer(createConfiguration(5, 50, 2, 48), 100), 'known');
    assert.equal(order.settle(LATER_MS), false);
    assert.equal(versionOf(order), 5);
  });

  it('believes a peer that has seen the number given out again, and not one that has not', () => {
    const restored = createOrder();
    restored.offer(createConfiguration(3, 31, 2, 46), 0);
    restored.settle(LATER_MS);
    const earlier = createOrder();
    assert.equal(restored.merge(earlier.history!, 50, 0), false);
    assert.equal(earlier.merge(restored.history!, 31, 0), true);
    assert.equal(versionOf(earlier), 3);
  });

  it('does not take a leftover in the store for a new one after a start', () => {
    // A process that starts after the restore reads the leftover first and then asks a peer.
    const started = new ConfigurationOrder();
    started.offer(createConfiguration(4, 40, 2, 40), 0);
    assert.equal(started.merge(createOrder().history!, 50, 0), true);
    assert.equal(started.offer(createConfiguration(4, 40, 2, 40), 0), 'leftover');
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
        let era = 1;
        let now = 0;
        steps.forEach(({ isRestore, version, readers }, index) => {
          era += Number(isRestore);
          now += LATER_MS;
          readers.forEach((reader) => {
            orders[reader]!.offer(createConfiguration(version, index + 1, era, index), now);
            orders[reader]!.settle(now + LATER_MS);
          });
        });
        const exchange = () =>
          orders.forEach((order) =>
            orders.forEach(({ history }) => {
              if (history) order.merge(history, history.state!.inForce.digest, now);
            }),
          );
        // What is heard may show that a row that was taken for a leftover is none.
        [1, 2].forEach((times) => {
          exchange();
          exchange();
          orders.forEach((order) => order.settle(now + times * LATER_MS));
        });
        exchange();
        exchange();
        const inForce = orders.map(({ state }) => state?.inForce.digest);
        assert.equal(new Set(inForce).size, 1);
      }),
      { seed: 5, numRuns: 300 },
    );
  });

  it('refuses the claim of a peer that does not know what it has read itself', () => {
    // Guards against a process that takes its peers back to a restored configuration (review case 4).
    const ignorant = new ConfigurationOrder();
    ignorant.offer(createConfiguration(2, 20, 2, 30), 0);
    const order = createOrder();
    assert.equal(order.offer(createConfiguration(2, 20, 2, 30), 0), 'pending');
    assert.equal(order.offer(createConfiguration(5, 50, 2, 48), 100), 'known');
    assert.equal(order.isBehind(2, ignorant.state), false);
    assert.equal(order.merge(ignorant.history!, 20, LATER_MS), false);
    assert.equal(order.settle(LATER_MS), false);
    assert.equal(versionOf(order), 5);
  });

  it('presumes that a number from before its time is a leftover', () => {
    const started = new ConfigurationOrder();
    started.offer(createConfiguration(5, 50, 1, 50), 0);
    assert.equal(started.offer(createConfiguration(3, 30, 2, 30), 0), 'leftover');
    assert.equal(started.settle(LATER_MS), false);
    assert.equal(started.offer(createConfiguration(3, 31, 2, 46), 0), 'pending');
    assert.equal(started.settle(LATER_MS), true);
  });

  it('loses nothing if the era of a response is missing, falls or jumps', () => {
    const eras = [0, 1000, 1, 7, 3, 0, 2];
    const order = createOrder();
    eras.forEach((era, index) => {
      order.offer(createConfiguration(4, 40, era, 100 + index), index);
      assert.equal(order.settle(index + LATER_MS), false);
      assert.equal(versionOf(order), 5 + index);
      order.offer(createConfiguration(6 + index, 60 + index, era, 200 + index), index);
      assert.equal(versionOf(order), 6 + index);
    });
  });

  it('takes a higher number of a peer of an older version, and no lower one', () => {
    const order = createOrder();
    const older = { version: 3, known: [], knownVersions: [] };
    assert.equal(order.isBehind(3, undefined), false);
    assert.equal(order.merge(older, 30, 0), false);
    assert.equal(order.isBehind(7, undefined), true);
    assert.equal(order.merge({ ...older, version: 7 }, 70, 0), true);
    assert.equal(versionOf(order), 7);
  });

  it('does not copy again what it has refused', () => {
    const order = createOrder();
    order.offer(createConfiguration(5, 50, 2, 60), 0);
    const peer = new ConfigurationOrder();
    peer.offer(createConfiguration(4, 41, 3, 40), 0);
    assert.equal(order.isBehind(4, peer.state), true);
    order.merge({ ...peer.history!, known: [[41, 1]], knownVersions: [4] }, 41, 0);
    assert.equal(versionOf(order), 5);
    assert.equal(order.isBehind(4, peer.state), false);
  });
});
