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

test('a batch is rejected as a gap if changes between the current revision and the batch are missing', () => {
  const state = new ConfigurationState();
  assert.equal(state.apply({ after: 1, changes: [change(2, 'a')] }), 'gap');
  assert.equal(state.snapshot.revision, 0);
  assert.equal(state.apply({ after: 0, changes: [change(1, 'a'), change(2, 'b')] }), 'applied');
  assert.equal(state.snapshot.revision, 2);
});

test('an outdated batch does not revert a later change of the same subject', () => {
  const state = new ConfigurationState();
  const before = state.snapshot;
  state.apply({ after: 0, changes: [change(1, 'a'), change(2, 'a', true)] });
  assert.equal(state.apply({ after: 0, changes: [change(1, 'a')] }), 'known');
  // The batch overlaps with known revisions: only its last change is new.
  state.apply({ after: 0, changes: [change(1, 'a'), change(3, 'b')] });
  assert.equal(state.snapshot.servers.get('a')?.draining, true);
  assert.equal(before.servers.size, 0, 'a snapshot returned earlier must not change');
});

test('applying the changes since any earlier revision gives the current snapshot', () => {
  const full = new ConfigurationState();
  const changes = [change(1, 'a'), change(2, 'b'), change(3, 'a', true), change(4, 'c')];
  full.apply({ after: 0, changes });
  // The batch of changes since a revision has only the last change of each subject.
  for (let earlierRevision = 0; earlierRevision <= 4; earlierRevision += 1) {
    const outdated = new ConfigurationState();
    outdated.apply({ after: 0, changes: changes.slice(0, earlierRevision) });
    outdated.apply(full.since(earlierRevision));
    assert.deepEqual(outdated.snapshot.servers, full.snapshot.servers);
    assert.equal(outdated.snapshot.revision, 4);
  }
});
