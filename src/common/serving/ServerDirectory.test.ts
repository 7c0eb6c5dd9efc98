import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { REREGISTRATION_MS, ServerDirectory } from './ServerDirectory.js';
import { ManualClock } from './testing/ManualClock.js';
import { createServer } from './testing/fixtures.js';

function createDirectory() {
  const clock = new ManualClock();
  const directory = new ServerDirectory(clock);
  directory.markStoreReachable();
  clock.set(10 * REREGISTRATION_MS);
  const put = (id: string, overrides = {}) =>
    directory.apply([{ id, server: createServer(id, overrides) }]);
  const ids = () => directory.usable('retrieval').map(({ id }) => id);
  return { clock, directory, put, ids };
}

describe('ServerDirectory', () => {
  it('gives no work to a draining server', () => {
    const { put, ids } = createDirectory();
    put('s1');
    put('s1', { isDraining: true });
    assert.deepEqual(ids(), []);
  });

  it('removes a server at once while the store is stable', () => {
    const { directory, put, ids } = createDirectory();
    put('s1');
    directory.apply([{ id: 's1' }]);
    assert.deepEqual(ids(), []);
  });

  it('keeps a server whose registration lapsed with the store, until its time to return is over', () => {
    // Guards against losing all servers when the store comes back without their rows.
    const { clock, directory, put, ids } = createDirectory();
    put('s1');
    directory.markStoreLost();
    clock.set(clock.now() + 5000);
    directory.markStoreReachable();
    directory.replaceAll([]);
    assert.deepEqual(ids(), ['s1']);
    clock.set(clock.now() + REREGISTRATION_MS);
    directory.expire();
    assert.deepEqual(ids(), []);
  });

  it('keeps a server that registers again in time', () => {
    const { clock, directory, put, ids } = createDirectory();
    put('s1');
    directory.markStoreLost();
    directory.markStoreReachable();
    directory.replaceAll([]);
    put('s1');
    clock.set(clock.now() + 2 * REREGISTRATION_MS);
    directory.expire();
    assert.deepEqual(ids(), ['s1']);
  });

  it('forgets a server when another one registers its address', () => {
    // Guards against requests of one service at a server of another.
    const { directory, put } = createDirectory();
    put('s1', { address: '10.0.0.1:80' });
    put('s2', { address: '10.0.0.1:80', service: 'other' });
    assert.equal(directory.get('s1'), undefined);
    assert.equal(directory.atAddress('10.0.0.1:80')?.id, 's2');
  });

  it('tells of a server that started again under its id', () => {
    // Guards against results and connections of the process before.
    const { directory, put } = createDirectory();
    const removed: string[] = [];
    directory.onRemoved(({ id }) => removed.push(id));
    put('s1', { startedAtMs: 1 });
    put('s1', { startedAtMs: 1 });
    assert.deepEqual(removed, []);
    put('s1', { startedAtMs: 2 });
    assert.deepEqual(removed, ['s1']);
  });
});
