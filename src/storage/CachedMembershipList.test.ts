import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instance } from '../common/protocol/Membership.js';
import { CachedMembershipList } from './CachedMembershipList.js';
import type { PlatformResult } from './Types.js';

test('the last list is returned during an outage, so that a drain still finds its agent', async () => {
  const answers: PlatformResult<Instance[]>[] = [
    { ok: false, error: { kind: 'unavailable', message: 'down' } },
    { ok: true, value: [] },
    { ok: false, error: { kind: 'unavailable', message: 'down' } },
  ];
  const list = new CachedMembershipList({ list: async () => answers.shift()! });
  assert.equal((await list.list({ timeoutMs: 1 })).ok, false);
  assert.equal((await list.list({ timeoutMs: 1 })).ok, true);
  assert.deepEqual(await list.list({ timeoutMs: 1 }), { ok: true, value: [] });
});
