import assert from 'node:assert/strict';
import { test } from 'node:test';
import { selectCandidates } from './CandidateSet.js';
import { createServers } from './testing/RoutingFixture.js';

const HERE = { failureDomain: 'north', region: 'default' };
const idsOf = (servers: readonly { agentId: string }[]) => servers.map(({ agentId }) => agentId);

test('all entries of a failure domain select the same candidates, whatever the list order', () => {
  const servers = createServers(30);
  const candidates = selectCandidates(servers, 'key', HERE, 8);
  assert.equal(candidates.length, 8);
  const again = selectCandidates([...servers].reverse(), 'key', HERE, 8);
  assert.deepEqual(idsOf(again), idsOf(candidates));
});

test('removing a server keeps the order of the others (keys must stay on their servers)', () => {
  const servers = createServers(30);
  const before = idsOf(selectCandidates(servers, 'key', HERE, 30));
  const without = servers.filter(({ agentId }) => agentId !== before[3]);
  const after = idsOf(selectCandidates(without, 'key', HERE, 30));
  assert.deepEqual(
    after,
    before.filter((_, position) => position !== 3),
  );
});

test('servers of the local failure domain are ordered first', () => {
  const servers = createServers(12, ['south', 'north', 'east']);
  const candidates = selectCandidates(servers, 'key', HERE, 8);
  assert.ok(candidates.slice(0, 4).every(({ failureDomain }) => failureDomain === 'north'));
  assert.ok(candidates.slice(4).every(({ failureDomain }) => failureDomain !== 'north'));
});

test('servers of other regions are used only if the local region has none', () => {
  const [own, ...others] = createServers(5);
  const remote = others.map((server) => ({ ...server, region: 'far' }));
  assert.deepEqual(idsOf(selectCandidates([own!, ...remote], 'key', HERE, 8)), ['s0']);
  assert.equal(selectCandidates(remote, 'key', HERE, 8).length, 4);
});

test('keys are distributed evenly over servers', () => {
  const servers = createServers(10);
  const counts = new Map<string, number>();
  for (let key = 0; key < 2000; key += 1) {
    const { agentId } = selectCandidates(servers, `key-${key}`, HERE, 1)[0]!;
    counts.set(agentId, (counts.get(agentId) ?? 0) + 1);
  }
  for (const count of counts.values()) assert.ok(count > 140 && count < 260, `${count}`);
});
