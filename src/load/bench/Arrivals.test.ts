import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { capacityPerSecond, drawArrivals } from './Arrivals.js';

const OPTIONS = { deployment: 'ashdown', fault: 'none', seed: 7, seconds: 20, load: 0.7 };

function drawTwice(fault: string) {
  const draw = () => drawArrivals(DEPLOYMENTS.ashdown!(), { ...OPTIONS, fault });
  return [draw(), draw()] as const;
}

// Guards against a comparison of policies under different loads.
test('the same options give the same arrivals', () => {
  const [first, second] = drawTwice('none');
  const plain = (arrivals: typeof first) =>
    arrivals.map(({ atMs, account, traffic, idempotencyKey, entry }) => {
      const template = traffic.template.name;
      return { atMs, account: account.id, template, idempotencyKey, entry };
    });
  assert.deepEqual(plain(first), plain(second));
});

// Guards against a load that is not the stated multiple of capacity.
test('arrivals come at the stated multiple of capacity, and faster in a burst', () => {
  const offered = drawTwice('none')[0].length / OPTIONS.seconds;
  const wanted = capacityPerSecond(DEPLOYMENTS.ashdown!()) * OPTIONS.load;
  assert.ok(Math.abs(offered / wanted - 1) < 0.15, `${offered} instead of ${wanted} a second`);
  assert.ok(drawTwice('burst')[0].length > 1.25 * drawTwice('none')[0].length);
});

// Guards against a non-idempotent request without a key, which every entry refuses.
test('exactly the requests with a non-idempotent stage have a key', () => {
  drawTwice('none')[0].forEach(({ traffic, idempotencyKey }) => {
    const isKeyed = traffic.template.stages.some((stage) => !stage.idempotent);
    assert.equal(idempotencyKey !== undefined, isKeyed);
  });
});

// Guards against a template mix that does not sum to the whole.
test('the parts of every deployment sum to 1', () => {
  Object.values(DEPLOYMENTS).forEach((create) => {
    const total = create().traffic.reduce((sum, { part }) => sum + part, 0);
    assert.ok(Math.abs(total - 1) < 1e-9);
  });
});
