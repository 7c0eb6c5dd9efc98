import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CLAIM_INLINE_RESULT_BYTES, CLAIM_TABLE, type Claim } from '../../common/protocol/Claim.js';
import { SeededRandom } from '../../common/time/SeededRandom.js';
import { FakeTableStore, type TableFault } from '../../storage/testing/FakeTableStore.js';
import type { Row } from '../../storage/Types.js';
import { ClaimWriter } from './ClaimWriter.js';

const KEY = 'account/key/stage';

function createClaim(fields: Partial<Claim> = {}): Claim {
  return {
    state: 'claimed',
    attemptId: 'attempt',
    agentId: 'agent',
    incarnation: 'incarnation',
    address: '127.0.0.1:1',
    inputDigest: 'digest',
    requestId: 'request',
    ...fields,
  };
}

function createFixture(faults: (TableFault | undefined)[] = []) {
  const store = new FakeTableStore();
  const objects = new Map<string, string>();
  let transactions = 0;
  store.chooseFault = (operation) => {
    if (operation !== 'transaction') return undefined;
    transactions += 1;
    return faults.shift();
  };
  const writer = new ClaimWriter({
    store,
    objects: {
      put: async (key, body) => {
        objects.set(key, body);
        return { ok: true, value: undefined };
      },
      get: async (key) => ({ ok: true, value: objects.get(key) ?? null }),
    },
    clock: { now: () => 0, wallTime: () => 0 },
    random: new SeededRandom(1),
    delay: () => Promise.resolve(),
  });
  const acquire = (claim: Claim, key = KEY, replaces?: Claim) =>
    writer.acquire({ key, claim, replaces, deadline: 1000 });
  const read = (key = KEY): Row => store.table.read({ table: CLAIM_TABLE, key });
  const put = (value: Claim, key = KEY) =>
    store.table.transaction({ checks: [], writes: [{ table: CLAIM_TABLE, key, value }] });
  return { store, writer, acquire, read, put, objects, transactions: () => transactions };
}

test('an insert with a lost answer is recognized as committed instead of refused or repeated', async () => {
  const { acquire, read } = createFixture(['lost-after-commit']);
  assert.deepEqual(await acquire(createClaim()), { kind: 'acquired' });
  assert.equal(read().version, 1);
});

test('a holder whose row is void cannot acquire it again, as others may have acted on the void row', async () => {
  const { acquire, put } = createFixture();
  put(createClaim({ state: 'void' }));
  assert.deepEqual(await acquire(createClaim()), { kind: 'given-up' });
});

test('a claim of another holder is replaced only if it is the one that the entry settled', async () => {
  const settled = createClaim({ attemptId: 'settled' });
  const current = createClaim({ attemptId: 'newer' });
  const { acquire, put } = createFixture();
  put(current);
  const end = await acquire(createClaim(), KEY, settled);
  assert.deepEqual(end, { kind: 'claimed', claim: current });
  assert.equal((await acquire(createClaim(), KEY, current)).kind, 'acquired');
});

test('a take-over that is still in flight fails after the claim was settled as void', async () => {
  const lost: TableFault[] = ['lost-before-commit', 'lost-before-commit', 'lost-before-commit'];
  const { writer, acquire, read, put, store } = createFixture([undefined, ...lost]);
  put(createClaim({ attemptId: 'other', state: 'void' }));
  const late = { ...read() };
  const end = await acquire(createClaim());
  assert.equal(end.kind === 'unavailable' && end.mayExist, true);
  assert.equal(await writer.settle(KEY, createClaim(), 'void'), true);
  const arrived = store.table.transaction({
    checks: [{ table: CLAIM_TABLE, key: KEY, version: late.version }],
    writes: [{ table: CLAIM_TABLE, key: KEY, value: createClaim() }],
  });
  assert.equal(arrived.ok, false);
  assert.equal((read().value as Claim).state, 'void');
});

test('settling as void writes an absent row, so that an insert still in flight fails', async () => {
  const { writer, read } = createFixture();
  assert.equal(await writer.settle(KEY, createClaim(), 'void'), true);
  assert.equal((read().value as Claim).state, 'void');
});

test('a result is stored after an outage, so the next attempt replays it instead of running', async () => {
  const outage: TableFault[] = ['unavailable', 'lost-before-commit', 'lost-after-commit'];
  const { writer, acquire, put } = createFixture([undefined, ...outage]);
  await acquire(createClaim());
  assert.equal(await writer.settle(KEY, createClaim(), 'done', '"output"'), true);
  const replayed = await acquire(createClaim({ attemptId: 'again' }));
  assert.deepEqual(replayed, { kind: 'replay', output: '"output"' });
  put(createClaim({ attemptId: 'elsewhere' }));
  assert.equal(await writer.settle(KEY, createClaim(), 'void'), false);
});

test('a result too large for the row is stored as an object and replayed completely', async () => {
  const { writer, acquire, read, objects } = createFixture();
  const output = JSON.stringify('é'.repeat(CLAIM_INLINE_RESULT_BYTES / 2));
  await acquire(createClaim());
  await writer.settle(KEY, createClaim(), 'done', output);
  assert.equal((read().value as Claim).output, undefined);
  assert.equal(objects.size, 1);
  const replayed = await acquire(createClaim({ attemptId: 'again' }));
  assert.deepEqual(replayed, { kind: 'replay', output });
});

test('pending claims share a transaction, and a conflict of one does not fail the others', async () => {
  const { acquire, put, transactions } = createFixture();
  put(createClaim({ attemptId: 'other' }), 'k3');
  const ends = await Promise.all(
    [...Array(10).keys()].map((n) => acquire(createClaim({ attemptId: `a${n}` }), `k${n}`)),
  );
  assert.deepEqual(
    ends.map((end) => end.kind),
    [...Array(10).keys()].map((n) => (n === 3 ? 'claimed' : 'acquired')),
  );
  // Two single claims, one batch of eight with the conflict, then its other seven one by one.
  assert.equal(transactions(), 10);
});

test('two attempts of one key never share a transaction, where both would appear committed', async () => {
  const { acquire, transactions } = createFixture();
  const ends = await Promise.all([
    ...['k1', 'k2', 'k3', 'k4', 'k5'].map((key) => acquire(createClaim(), key)),
    acquire(createClaim({ attemptId: 'second' }), 'k5'),
  ]);
  assert.deepEqual(
    ends
      .map((end) => end.kind)
      .sort()
      .slice(0, 5),
    Array(5).fill('acquired'),
  );
  assert.equal(ends.filter((end) => end.kind === 'claimed').length, 1);
  assert.equal(transactions(), 4);
});
