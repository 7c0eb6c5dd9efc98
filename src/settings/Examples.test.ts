import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AgentSettings } from '../agent/AgentSettings.js';
import { Account, Template } from '../common/protocol/Configuration.js';
import { EntrySettings } from '../entry/EntrySettings.js';
import { StandinSettings } from '../standin/StandinSettings.js';
import { readSettings } from './SettingsFile.js';

const EXAMPLES = {
  'agent.jsonc': AgentSettings,
  'birmingham-parks.jsonc': Account,
  'deposit.jsonc': Template,
  'entry.jsonc': EntrySettings,
  'standin.jsonc': StandinSettings,
};

for (const [file, schema] of Object.entries(EXAMPLES)) {
  test(`examples/${file} is valid, so that the getting-started page keeps working`, () => {
    const result = readSettings(`examples/${file}`, schema);
    assert.deepEqual(result.ok ? [] : result.problems, []);
  });
}
