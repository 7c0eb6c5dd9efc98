import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigurationSnapshot, Heartbeat, RegistrationSnapshot } from './PeerMessages.js';
import { createHeartbeat } from './testing/fixtures.js';

describe('messages of a process of an older version', () => {
  // Guards against processes that cannot copy from each other while a new version is rolled out.
  it('are read without eras, generations and departures', () => {
    const { serverEra, configurationGeneration, departures, ...older } = createHeartbeat('peer');
    assert.deepEqual(Heartbeat.parse(older), {
      ...older,
      serverEra,
      configurationGeneration,
      departures,
    });
    assert.deepEqual(ConfigurationSnapshot.parse({ version: 3, value: 'eA==' }), {
      generation: 0,
      version: 3,
      era: 0,
      known: [],
      value: 'eA==',
    });
    assert.deepEqual(RegistrationSnapshot.parse({ version: 7, rows: [['s1', 'eA==']] }), {
      era: 0,
      version: 7,
      rows: [['s1', 'eA==']],
    });
  });
});
