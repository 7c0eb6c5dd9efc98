import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { FakeTableStore } from '../storage/testing/FakeTableStore.js';
import { SystemClock } from '../storage/SystemClock.js';
import type { TableStore } from '../storage/Types.js';
import { createLogger } from '../telemetry/Logger.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';

const logger = createLogger('test', 'error');
const clock = new SystemClock();

const followers: ConfigurationFollower[] = [];
afterEach(() => followers.splice(0).forEach((follower) => follower.dispose()));

function createFollower(store: TableStore): ConfigurationFollower {
  const peers = () => Promise.resolve([]);
  const random = new SeededRandom(1);
  const follower = new ConfigurationFollower({
    ...{ store, clock, random, peers, logger },
    pollIntervalMs: 60_000,
  });
  followers.push(follower);
  return follower;
}

/** Publishes one change for each id, as an operator whose process has just started. */
async function publish(store: TableStore, ids: readonly string[]): Promise<void> {
  const source = createFollower(store);
  const notifier = { notify: () => Promise.resolve() };
  const publisher = new ConfigurationPublisher({ store, clock, source, notifier, logger });
  for (const id of ids) {
    await source.refresh();
    const result = await publisher.publish({
      expectedRevision: source.snapshot().revision,
      changeId: id,
      author: 'ann',
      subject: { kind: 'server', value: { id, draining: true } },
    });
    assert.ok(result.ok);
  }
}

test('a change that was accepted after a restore of the table service comes into force', async () => {
  // The restored log has given out the revision of a lost change again.
  const before = new FakeTableStore();
  const restored = new FakeTableStore();
  let current = before;
  const store: TableStore = {
    read: (rows) => current.read(rows),
    scan: (range) => current.scan(range),
    transaction: (request) => current.transaction(request),
  };
  await publish(before, ['first', 'lost']);
  await publish(restored, ['first', 'accepted']);
  const follower = createFollower(store);
  await follower.refresh();
  current = restored;
  await follower.refresh();
  assert.ok(follower.snapshot().servers.has('accepted'));
});
