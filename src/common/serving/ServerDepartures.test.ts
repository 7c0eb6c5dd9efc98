import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ServerDirectory } from './ServerDirectory.js';
import { ManualClock } from './testing/ManualClock.js';
import { createDepartures, createServer } from './testing/fixtures.js';

/** Time after which a server that leaves must get no requests, in ms. */
const DRAIN_MS = 2000;

/** Longer than the store keeps the registration of a server that has left, in ms. */
const EXPIRY_MS = 6000;

function createFixture() {
  const clock = new ManualClock();
  const departures = createDepartures(clock);
  return { clock, departures, directory: new ServerDirectory(clock, departures) };
}

describe('ServerDepartures', () => {
  it('holds for the incarnation of the server and reaches the peers', () => {
    const { departures } = createFixture();
    const peer = createFixture().departures;
    const server = createServer('s1', { startedAtMs: 1, sequence: 4 });
    departures.recordResponse(server);
    peer.merge(departures.reports);
    // Peers know it from the store by then.
    departures.recordRegistration(server);
    assert.deepEqual(departures.reports, {});
    [departures, peer].forEach((view) => {
      view.recordRegistration(server);
      view.recordReady({ ...server, sequence: 9 }, false);
      assert.ok(view.has({ ...server, sequence: 9 }));
      assert.equal(view.has({ ...server, startedAtMs: 2 }), false);
    });
    // What comes from a peer is not passed on, as its age would drift.
    assert.deepEqual(peer.reports, {});
  });

  it('does not alternate between what two peers report of the same server', () => {
    const { departures } = createFixture();
    const changes: string[] = [];
    departures.onChanged(({ source }) => changes.push(source));
    const report = { startedAtMs: 1, sequence: null, ageMs: 0, forMs: null };
    for (let round = 0; round < 3; round += 1) {
      departures.merge({ s1: { ...report, source: 'registration' } });
      departures.merge({ s1: { ...report, source: 'response' } });
    }
    assert.deepEqual(changes, ['registration', 'response']);
  });

  it('ignores an earlier registration after a restore until the store would have expired it', () => {
    const { clock, departures, directory } = createFixture();
    const server = createServer('s1', { startedAtMs: 1, sequence: 4 });
    directory.markStoreReachable();
    clock.set(EXPIRY_MS);
    directory.apply([{ id: 's1', server }]);
    directory.apply([{ id: 's1' }]);
    directory.replaceAll([{ id: 's1', server }], true);
    assert.deepEqual(directory.usable('retrieval'), []);
    assert.ok('s1' in departures.reports);
    clock.set(2 * EXPIRY_MS);
    departures.check();
    assert.equal(directory.usable('retrieval').length, 1);
  });

  it('does not expire the departure of a server that was draining', () => {
    const { clock, departures, directory } = createFixture();
    const server = createServer('s1', { startedAtMs: 1, sequence: 4 });
    directory.apply([{ id: 's1', server: { ...server, isDraining: true, sequence: 5 } }]);
    directory.replaceAll([{ id: 's1', server }], true);
    clock.set(2 * EXPIRY_MS);
    departures.check();
    assert.deepEqual(directory.usable('retrieval'), []);
    directory.replaceAll([{ id: 's1', server: { ...server, sequence: 6 } }], true);
    assert.equal(directory.usable('retrieval').length, 1);
  });

  it('keeps the number of departures and of reports bounded', () => {
    const { departures } = createFixture();
    const servers = Array.from({ length: 1500 }, (_, index) => createServer(`s${index}`));
    servers.forEach((server) => departures.recordResponse(server));
    assert.equal(departures.has(servers[0]!), false);
    assert.ok(departures.has(servers[1499]!));
    assert.equal(Object.keys(departures.reports).length, 32);
  });

  it('lets no server be used after the bound in a release of hundreds of servers', () => {
    // Load pattern: a release replaces 300 servers, ten every 100 ms; the first response of each says
    // that it leaves. The last ones leave at once, with no other server.
    const { clock, departures, directory } = createFixture();
    const servers = Array.from({ length: 300 }, (_, index) =>
      createServer(`s${index}`, { address: `10.0.${index}.1:80`, startedAtMs: 1 }),
    );
    directory.apply(servers.map((server) => ({ id: server.id, server })));
    const leavesAt = new Map<string, number>();
    for (let step = 0; step < 60; step += 1) {
      clock.set(step * 100);
      departures.check();
      const count = step < 25 ? 10 : 50;
      servers
        .filter(({ id }) => !leavesAt.has(id))
        .slice(0, count)
        .forEach((server) => {
          leavesAt.set(server.id, clock.now());
          departures.recordResponse(server);
        });
      const usable = directory.usable('retrieval');
      if (leavesAt.size < servers.length)
        assert.equal(usable.length, servers.length - leavesAt.size);
      usable.forEach(({ id }) =>
        assert.ok(clock.now() < (leavesAt.get(id) ?? Infinity) + DRAIN_MS, `${id} at ${step}`),
      );
    }
    assert.deepEqual(directory.usable('retrieval'), []);
  });
});
