import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DEPLOYMENTS } from '../deployment/Deployments.js';
import { capacityPerSecond, drawArrivals } from './Arrivals.js';

const OPTIONS = { deployment: 'ashdown', fault: 'none', seed: 7, seconds: 20, load: 0.7 };

function drawTwice(fault: string) {
  const drawOnce = () => drawArrivals(DEPLOYMENTS.ashdown!(), { ...OPTIONS, fault });
  return [drawOnce(), drawOnce()] as const;
}

// Guards against comparing the policies under different loads.
test('the same options produce the same arrivals', () => {
  const [first, second] = drawTwice('none');
  const plain = (arrivals: typeof first) =>
    arrivals.map(({ atMs, account, traffic, idempotencyKey, entry }) => {
      const template = traffic.template.name;
      return { atMs, account: account.id, template, idempotencyKey, entry };
    });
  assert.deepEqual(plain(first), plain(second));
});

// Guards against an offered load that is not the configured multiple of capacity.
test('the arrival rate is the configured multiple of capacity, and higher with a burst', () => {
  const offered = drawTwice('none')[0].length / OPTIONS.seconds;
  const wanted = capacityPerSecond(DEPLOYMENTS.ashdown!()) * OPTIONS.load;
  assert.ok(Math.abs(offered / wanted - 1) < 0.15, `expected ${wanted} requests/s, got ${offered}`);
  assert.ok(drawTwice('burst')[0].length > 1.25 * drawTwice('none')[0].length);
});

// Guards against a non-idempotent request without an idempotency key, which every entry refuses.
test('a request has an idempotency key exactly if it has a non-idempotent stage', () => {
  drawTwice('none')[0].forEach(({ traffic, idempotencyKey }) => {
    const isKeyed = traffic.template.stages.some((stage) => !stage.idempotent);
    assert.equal(idempotencyKey !== undefined, isKeyed);
  });
});

// Guards against a template mix that changes the offered load because its parts do not sum to 1.
test('the traffic parts of every deployment sum to 1', () => {
  Object.values(DEPLOYMENTS).forEach((create) => {
    const total = create().traffic.reduce((sum, { part }) => sum + part, 0);
    assert.ok(Math.abs(total - 1) < 1e-9);
  });
});
