import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { REREGISTRATION_PERIOD_MS, ServerDirectory } from './ServerDirectory.js';
import { ManualClock } from './testing/ManualClock.js';
import { createDepartures, createServer } from './testing/fixtures.js';

function createDirectory() {
  const clock = new ManualClock();
  const directory = new ServerDirectory(
    clock,
    createDepartures(clock),
    (service) => service !== 'unknown',
  );
  directory.markStoreReachable();
  clock.set(10 * REREGISTRATION_PERIOD_MS);
  const register = (id: string, overrides = {}) =>
    directory.apply([{ id, server: createServer(id, overrides) }]);
  const ids = () => directory.usable('retrieval').map(({ id }) => id);
  return { clock, directory, register, ids };
}

describe('ServerDirectory', () => {
  it('excludes a draining server from the usable ones', () => {
    const { register, ids } = createDirectory();
    register('s1');
    register('s1', { isDraining: true });
    assert.deepEqual(ids(), []);
  });

  it('removes a server immediately while the store is reachable', () => {
    const { directory, register, ids } = createDirectory();
    register('s1');
    directory.apply([{ id: 's1' }]);
    assert.deepEqual(ids(), []);
  });

  it('delays removals after an outage of the store until the re-registration period ends', () => {
    // Guards against removing all servers when the store loses their rows in an outage.
    const { clock, directory, register, ids } = createDirectory();
    register('s1');
    directory.markStoreUnreachable();
    clock.set(clock.now() + 5000);
    directory.markStoreReachable();
    directory.replaceAll([]);
    assert.deepEqual(ids(), ['s1']);
    clock.set(clock.now() + REREGISTRATION_PERIOD_MS);
    directory.applyDueRemovals();
    assert.deepEqual(ids(), []);
  });

  it('keeps a server that registers again within the re-registration period', () => {
    const { clock, directory, register, ids } = createDirectory();
    register('s1');
    directory.markStoreUnreachable();
    directory.markStoreReachable();
    directory.replaceAll([]);
    register('s1');
    clock.set(clock.now() + 2 * REREGISTRATION_PERIOD_MS);
    directory.applyDueRemovals();
    assert.deepEqual(ids(), ['s1']);
  });

  it('removes a server when another one registers with its address', () => {
    // Guards against sending requests of one service to a server of another.
    const { directory, register } = createDirectory();
    register('s1', { address: '10.0.0.1:80' });
    register('s2', { address: '10.0.0.1:80', service: 'other' });
    assert.equal(directory.get('s1'), undefined);
    assert.equal(directory.findByAddress('10.0.0.1:80')?.id, 's2');
  });

  it('keeps a server when a row for a service that does not exist names its address', () => {
    // Guards against a row of another writer that takes a sound server out of use.
    const { directory, register, ids } = createDirectory();
    register('s1', { address: '10.0.0.1:80' });
    register('odd', { address: '10.0.0.1:80', service: 'unknown' });
    assert.deepEqual(ids(), ['s1']);
    assert.equal(directory.findByAddress('10.0.0.1:80')?.id, 's1');
  });

  it('fires onRemoved when a server restarts under the same id', () => {
    // Guards against using results and connections of the previous process.
    const { directory, register } = createDirectory();
    const removed: string[] = [];
    directory.onRemoved(({ id }) => removed.push(id));
    register('s1', { startedAtMs: 1 });
    register('s1', { startedAtMs: 1 });
    assert.deepEqual(removed, []);
    register('s1', { startedAtMs: 2 });
    assert.deepEqual(removed, ['s1']);
  });
});
