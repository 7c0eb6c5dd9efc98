import assert from 'node:assert/strict';
import { afterEach, test } from 'node:test';
import type { ChangeSubject } from '../common/protocol/Configuration.js';
import { SeededRandom } from '../common/time/SeededRandom.js';
import { SystemClock } from '../storage/SystemClock.js';
import { FakeTableStore } from '../storage/testing/FakeTableStore.js';
import { createLogger } from '../telemetry/Logger.js';
import { ConfigurationFollower } from './ConfigurationFollower.js';
import { ConfigurationPublisher } from './ConfigurationPublisher.js';

const logger = createLogger('test', 'error');
const clock = new SystemClock();

const sources: ConfigurationFollower[] = [];
afterEach(() => sources.splice(0).forEach((source) => source.dispose()));

const createSourceAndPublisher = (store: FakeTableStore) => {
  const source = new ConfigurationFollower({
    store,
    clock,
    random: new SeededRandom(1),
    pollIntervalMs: 60_000,
    peers: () => Promise.resolve([]),
    logger,
  });
  sources.push(source);
  const notifier = { notify: () => Promise.resolve() };
  return {
    source,
    publisher: new ConfigurationPublisher({ store, clock, source, notifier, logger }),
  };
};

const server = (id: string): ChangeSubject => ({ kind: 'server', value: { id, draining: false } });
const request = (changeId: string, expectedRevision = 0, subject = server('a')) => ({
  expectedRevision,
  changeId,
  author: 'ann',
  subject,
});

test('a publisher that loses a race gets the winning change in the conflict error', async () => {
  const store = new FakeTableStore();
  const { publisher } = createSourceAndPublisher(store);
  const results = await Promise.all([
    publisher.publish(request('first')),
    createSourceAndPublisher(store).publisher.publish(request('second')),
  ]);
  const lost = results.find((result) => !result.ok);
  assert.equal(results.filter((result) => result.ok).length, 1);
  assert.ok(lost && !lost.ok && lost.error.kind === 'conflict');
  assert.notEqual(lost.error.winner?.changeId, undefined);
});

test('a committed change whose answer was lost is reported as committed and not applied twice', async () => {
  const store = new FakeTableStore();
  const { source, publisher } = createSourceAndPublisher(store);
  let transactions = 0;
  store.chooseFault = (operation) => {
    if (operation !== 'transaction') return undefined;
    transactions += 1;
    return transactions === 1 ? 'lost-after-commit' : undefined;
  };
  const result = await publisher.publish(request('first'));
  assert.ok(result.ok);
  assert.equal(source.snapshot().revision, 1);
  // The operator's tool retries the call after its connection has broken.
  assert.deepEqual(await publisher.publish(request('first')), result);
  assert.equal(source.snapshot().revision, 1);
});

test('a transaction lost before its commit is retried until it commits', async () => {
  const store = new FakeTableStore();
  const { publisher } = createSourceAndPublisher(store);
  let transactions = 0;
  store.chooseFault = (operation) => {
    if (operation !== 'transaction') return undefined;
    transactions += 1;
    return transactions === 1 ? 'lost-before-commit' : undefined;
  };
  assert.ok((await publisher.publish(request('first'))).ok);
  assert.equal(transactions, 2);
});

test('an account that refers to an unpublished template is rejected', async () => {
  const { publisher } = createSourceAndPublisher(new FakeTableStore());
  const subject: ChangeSubject = {
    kind: 'account',
    value: {
      id: 'acme',
      tokenDigest: 'a'.repeat(64),
      priority: 5,
      share: 1,
      templates: { plan: { deadlineMs: 1000 } },
    },
  };
  const result = await publisher.publish(request('first', 0, subject));
  assert.ok(!result.ok && result.error.kind === 'invalid');
  assert.match(result.error.message, /templates\.plan: template "plan" is not published/);
});
