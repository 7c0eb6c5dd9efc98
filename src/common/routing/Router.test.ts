import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '../time/SeededRandom.js';
import { estimateStages } from './Feasibility.js';
import { Router, type RouterPolicy } from './Router.js';
import { createClock, createServers } from './testing/RoutingFixture.js';
import type { RouteRequest } from './Types.js';

const POLICY: RouterPolicy = {
  candidates: 8,
  loadAware: true,
  prefixAffinity: true,
  ejection: true,
};
const LOAD = { slots: 2, running: 0, waiting: 0, waitMs: 0, draining: false };
const STAGE = { name: 's', kind: 'encode', pool: 'pool', idempotent: true, input: {} } as const;
const WORK = { template: 't', stage: 's' };

const createRouter = (count: number, policy: Partial<RouterPolicy> = {}) => {
  const clock = createClock();
  const servers = createServers(count);
  const router = new Router({
    clock,
    random: new SeededRandom(7),
    location: { failureDomain: 'north', region: 'default' },
    policy: { ...POLICY, ...policy },
    serversOf: () => servers,
  });
  const request = (part: Partial<RouteRequest> = {}): RouteRequest => ({
    pool: 'pool',
    key: 'key',
    placement: 'spread',
    exclude: new Set(),
    ...part,
  });
  const countChoices = (part: Partial<RouteRequest> = {}, choices = 200) => {
    const counts = new Map<string, number>();
    for (let choice = 0; choice < choices; choice += 1) {
      const { agentId } = router.choose(request(part))!.server;
      counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
    }
    return counts;
  };
  return { router, clock, servers, request, countChoices };
};

test('a busy server is avoided while others are idle, unless load awareness is off', () => {
  for (const loadAware of [true, false]) {
    const { router, countChoices } = createRouter(3, { loadAware });
    router.reportLoad('s0', { ...LOAD, running: 2, waiting: 6 }, 'i');
    const busy = countChoices().get('s0') ?? 0;
    assert.ok(loadAware ? busy === 0 : busy > 40, `${busy}`);
  }
});

test('the effect of a load report decays (a server must not be avoided indefinitely)', () => {
  const { router, clock, countChoices } = createRouter(2);
  router.reportLoad('s0', { ...LOAD, running: 2, waiting: 6 }, 'i');
  router.recordAttemptStart('s1');
  assert.equal(countChoices().get('s0'), undefined);
  clock.advance(10_000);
  assert.ok((countChoices().get('s0') ?? 0) > 100);
});

test('a draining server is avoided for 3 s after its report, unless no other is left', () => {
  const { router, clock, countChoices, request } = createRouter(2);
  router.reportLoad('s0', { ...LOAD, draining: true }, 'i');
  assert.equal(countChoices().get('s0'), undefined);
  assert.equal(router.choose(request({ exclude: new Set(['s1']) }))?.server.agentId, 's0');
  clock.advance(3000);
  assert.ok(countChoices().get('s0')! > 0);
});

test('a prompt prefix stays on one engine until that is much busier than the others', () => {
  const { router, countChoices } = createRouter(4);
  const counts = countChoices({ placement: 'affinity' });
  assert.equal(counts.size, 1);
  const [first] = counts.keys();
  router.reportLoad(first!, { ...LOAD, running: 2, waiting: 6 }, 'i');
  assert.equal(countChoices({ placement: 'affinity' }).get(first!), undefined);
  assert.ok(
    createRouter(4, { prefixAffinity: false }).countChoices({ placement: 'affinity' }).size > 1,
  );
});

test('an idempotency key stays on its server under load that moves a prompt prefix', () => {
  const { router, servers, countChoices } = createRouter(4);
  servers.forEach(({ agentId }) => router.reportLoad(agentId, LOAD, 'i'));
  const [first] = countChoices({ placement: 'sticky' }).keys();
  router.reportLoad(first!, { ...LOAD, running: 2, waiting: 1 }, 'i');
  assert.deepEqual([...countChoices({ placement: 'sticky' }).keys()], [first]);
  assert.equal(countChoices({ placement: 'affinity' }).get(first!), undefined);
  router.reportLoad(first!, { ...LOAD, running: 2, waiting: 60 }, 'i');
  assert.equal(countChoices({ placement: 'sticky' }).get(first!), undefined);
});

test('a slow server is avoided, and tried again when its slowness has decayed', () => {
  const { router, servers, clock, countChoices } = createRouter(2);
  for (let result = 0; result < 20; result += 1) {
    router.reportResult(servers[0]!, WORK, { serviceMs: 100, firstChunkMs: 100 });
  }
  clock.advance(1000);
  for (let result = 0; result < 5; result += 1) {
    router.reportResult(servers[1]!, WORK, { serviceMs: 900, firstChunkMs: 900 });
  }
  assert.equal(countChoices().get('s1'), undefined);
  clock.advance(100_000);
  router.recordAttemptStart('s0');
  assert.ok(countChoices().get('s1')! > 100);
});

test('an unreachable agent is avoided until it is reached again, unless ejection is off', () => {
  const { router, servers, countChoices } = createRouter(4);
  assert.equal(router.reportFailure(servers[0]!, 'unreachable'), true);
  assert.equal(countChoices().get('s0'), undefined);
  router.readmit('s0');
  assert.ok(countChoices().get('s0')! > 0);
  const off = createRouter(4, { ejection: false });
  assert.equal(off.router.reportFailure(off.servers[0]!, 'unreachable'), false);
  assert.ok(off.countChoices().get('s0')! > 0);
});

test('a new entry spreads its first requests and refuses none for lack of data', () => {
  const { router, countChoices } = createRouter(4);
  for (const count of countChoices().values()) assert.ok(count > 30 && count < 70, `${count}`);
  assert.equal(estimateStages(router, 't', [STAGE]).expectedMs, 0);
});

test('the estimate sums service and queueing times of all remaining stages', () => {
  const { router, servers, clock } = createRouter(2);
  for (let result = 0; result < 20; result += 1) {
    router.reportResult(servers[0]!, WORK, { serviceMs: 100, firstChunkMs: 100 });
  }
  // Lets the cached quantiles expire (after 250 ms).
  clock.advance(1000);
  router.reportLoad('s0', { ...LOAD, waitMs: 40 }, 'i');
  router.reportLoad('s1', { ...LOAD, waitMs: 30 }, 'i');
  assert.deepEqual(estimateStages(router, 't', [STAGE, STAGE]), { expectedMs: 260, waitMs: 60 });
});

test('the state of servers that left the membership list is deleted', () => {
  const { router } = createRouter(2);
  router.reportLoad('s0', LOAD, 'first');
  router.removeUnlisted(new Set(['s1']));
  assert.equal(router.incarnationOf('s0'), null);
});
