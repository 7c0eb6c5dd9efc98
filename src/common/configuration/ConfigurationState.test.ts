import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Change } from '../protocol/Configuration.js';
import { ConfigurationState } from './ConfigurationState.js';

const change = (revision: number, id: string, draining = false): Change =>
  Change.parse({
    revision,
    changeId: `c${revision}`,
    author: 'ann',
    at: 0,
    subject: { kind: 'server', value: { id, draining } },
  });

test('changes with a gap before them are not applied, so no change is skipped', () => {
  const state = new ConfigurationState();
  assert.equal(state.apply({ after: 1, changes: [change(2, 'a')] }), 'gap');
  assert.equal(state.snapshot.revision, 0);
  assert.equal(state.apply({ after: 0, changes: [change(1, 'a'), change(2, 'b')] }), 'applied');
  assert.equal(state.snapshot.revision, 2);
});

test('an old batch does not bring back what a later change replaced', () => {
  const state = new ConfigurationState();
  const before = state.snapshot;
  state.apply({ after: 0, changes: [change(1, 'a'), change(2, 'a', true)] });
  assert.equal(state.apply({ after: 0, changes: [change(1, 'a')] }), 'known');
  // The batch overlaps: only its last change is new.
  state.apply({ after: 0, changes: [change(1, 'a'), change(3, 'b')] });
  assert.equal(state.snapshot.servers.get('a')?.draining, true);
  assert.equal(before.servers.size, 0, 'a snapshot given out must not change');
});

test('a peer that holds only the last change of each subject gives the same snapshot', () => {
  const full = new ConfigurationState();
  const changes = [change(1, 'a'), change(2, 'b'), change(3, 'a', true), change(4, 'c')];
  full.apply({ after: 0, changes });
  for (let held = 0; held <= 4; held += 1) {
    const late = new ConfigurationState();
    late.apply({ after: 0, changes: changes.slice(0, held) });
    late.apply(full.since(held));
    assert.deepEqual(late.snapshot.servers, full.snapshot.servers);
    assert.equal(late.snapshot.revision, 4);
  }
});
