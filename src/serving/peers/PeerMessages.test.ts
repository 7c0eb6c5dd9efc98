import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigurationSnapshot, Heartbeat, RegistrationSnapshot } from './PeerMessages.js';
import { createHeartbeat } from './testing/fixtures.js';

describe('messages of a process of an older version', () => {
  // Guards against processes that cannot copy from each other while a new version is rolled out.
  it('are read without eras, states and departures', () => {
    const { serverEra, departures, ...older } = createHeartbeat('peer');
    assert.deepEqual(Heartbeat.parse(older), {
      ...older,
      serverEra,
      departures,
    });
    assert.deepEqual(ConfigurationSnapshot.parse({ version: 3, value: 'eA==' }), {
      version: 3,
      known: [],
      knownVersions: [],
      value: 'eA==',
    });
    assert.deepEqual(RegistrationSnapshot.parse({ version: 7, rows: [['s1', 'eA==']] }), {
      era: 0,
      version: 7,
      rows: [['s1', 'eA==']],
    });
  });
});
