import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { AttemptStateMachine } from '../common/attempts/AttemptStateMachine.js';
import { createAttempt } from '../common/attempts/testing/AttemptFixture.js';
import type { RevisionNotice } from '../common/protocol/Attempt.js';
import type { ConfigurationSource } from '../follower/Types.js';
import { SystemClock } from '../storage/SystemClock.js';
import { createLogger } from '../telemetry/Logger.js';
import { AttemptEndpoint } from './AttemptEndpoint.js';
import { AttemptActor } from './AttemptActor.js';
import { submitAttempt } from './testing/AgentFixture.js';

const REVISION = 7;
const NOTICE = { revision: REVISION, confirmedAgeMs: 1 };

/** Configuration source that has known revision 7 for a time that the test sets. */
const configuration = {
  heldMs: 0,
  received: [] as RevisionNotice[],
  ready: true,
  notice: () => NOTICE,
  newerRevisionHeldMs: (revision: number) => (revision < REVISION ? configuration.heldMs : 0),
  receiveNotice: (notice: RevisionNotice) => {
    configuration.received.push(notice);
  },
};

const stateMachine = new AttemptStateMachine(
  { slots: 1, maxWaiting: 10, retentionMs: 1000 },
  new SystemClock(),
);
const actor = new AttemptActor(
  stateMachine,
  (effect) => {
    const end = { kind: 'unreachable', message: '' } as const;
    if (effect.kind === 'run') actor.send({ type: 'run-ended', record: effect.record, end });
  },
  createLogger('test', 'error'),
);
const endpoint = new AttemptEndpoint({
  actor,
  configuration: configuration as unknown as ConfigurationSource,
  frameContext: { incarnation: 'i', notice: () => NOTICE, load: () => stateMachine.load() },
  pullChangesFrom: () => async () => [],
});
const server = createServer((request, response) => {
  endpoint.handle(request, response).catch(() => response.destroy());
});

before(
  () =>
    new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    }),
);

after(() => {
  server.close();
  server.closeAllConnections();
  endpoint.dispose();
  actor.dispose();
});

async function submitAt(revision: number, heldMs: number) {
  configuration.heldMs = heldMs;
  const attempt = createAttempt({ notice: { revision, confirmedAgeMs: null } });
  const { port } = server.address() as AddressInfo;
  return (await submitAttempt(`127.0.0.1:${port}`, attempt)).at(-1)!;
}

test('attempts of an entry that lags for more than 4 s are refused until it has caught up', async () => {
  const refused = await submitAt(REVISION - 1, 4001);
  assert.ok(refused.type === 'refused');
  assert.equal(refused.reason, 'stale-revision');
  assert.deepEqual(refused.notice, NOTICE, 'the entry learns the newer revision');
  assert.equal((await submitAt(REVISION - 1, 3999)).type, 'failed', 'handed over');
  assert.equal((await submitAt(REVISION, 4001)).type, 'failed', 'handed over');
});

test('the revision notice of an attempt is passed to the configuration source', async () => {
  configuration.received = [];
  await submitAt(REVISION + 1, 0);
  assert.deepEqual(
    configuration.received.map(({ revision }) => revision),
    [REVISION + 1],
  );
});

test('an attempt whose input has the wrong shape is refused as invalid before it can be claimed', async () => {
  const { port } = server.address() as AddressInfo;
  const attempt = createAttempt({ kind: 'encode', input: { text: 1 } });
  const [refused] = await submitAttempt(`127.0.0.1:${port}`, attempt);
  assert.ok(refused?.type === 'refused');
  assert.equal(refused.reason, 'invalid');
});

test('attempts are refused before the first configuration, since the server may be drained', async () => {
  configuration.ready = false;
  const end = await submitAt(REVISION, 0);
  configuration.ready = true;
  assert.equal(end.type, 'refused');
});
