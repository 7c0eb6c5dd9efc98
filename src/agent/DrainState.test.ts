import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationSnapshot } from '../common/protocol/Configuration.js';
import { DrainState } from './DrainState.js';

function createSnapshot(draining?: boolean): ConfigurationSnapshot {
  const id = 'server';
  const servers = new Map(draining === undefined ? [] : [[id, { id, draining }]]);
  const empty = new Map<string, never>();
  return { revision: 1, templates: empty, accounts: empty, accountsByToken: empty, servers };
}

test('an unrelated change does not end a drain that is not yet part of the configuration', () => {
  const state = new DrainState('server');
  state.applyOperatorCall(true);
  state.applyConfiguration(createSnapshot());
  assert.equal(state.isDraining, true);
  state.applyConfiguration(createSnapshot(true));
  state.applyConfiguration(createSnapshot(true));
  assert.equal(state.isDraining, true);
  state.applyConfiguration(createSnapshot(false));
  assert.equal(state.isDraining, false);
});

test('an agent that missed the direct call is drained by the configuration', () => {
  const state = new DrainState('server');
  state.applyConfiguration(createSnapshot(true));
  assert.equal(state.isDraining, true);
  state.applyOperatorCall(false);
  state.applyConfiguration(createSnapshot(true));
  assert.equal(state.isDraining, false, 'a direct resume is newer than the flag');
});

test('neither a direct call nor the configuration ends the drain of a shutdown', () => {
  const state = new DrainState('server');
  state.beginShutdown();
  state.applyOperatorCall(false);
  state.applyConfiguration(createSnapshot(false));
  assert.equal(state.isDraining, true);
});
