import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RowFeed } from '../storage/RowFeed.js';
import { createLogger } from '../telemetry/Logger.js';
import { StoreEra } from './StoreEra.js';
import { TableFollower } from './TableFollower.js';

/** Time between two changes of the table. */
const CHANGE_MS = 10;

/** @returns feed of a table that changes every {@link CHANGE_MS}, and counts of its calls */
function createBusyFeed() {
  const calls = { changes: 0 };
  const feed: RowFeed = {
    readAll: async () => ({ ok: true, value: { rows: [], position: { era: 0, version: 0 } } }),
    changes: async (_table, { era, version }) => {
      calls.changes += 1;
      await sleep(CHANGE_MS);
      const rows = [{ key: 'server', value: Buffer.from('row') }];
      return {
        ok: true,
        value: { kind: 'changes', page: { rows, position: { era, version: version + 1 } } },
      };
    },
    write: async () => ({ ok: true, value: undefined }),
    close: async () => undefined,
  };
  return { feed, calls };
}

/** @returns follower of the feed's table in a fleet of the given size */
function createFollower(
  feed: RowFeed,
  processes: number,
  apply: () => void,
  storeEra = new StoreEra(),
): TableFollower {
  return new TableFollower({
    feed,
    table: 'servers',
    pollSpacingMs: 750,
    maxReadGapMs: 1000,
    listener: {
      replaceAll: () => undefined,
      apply,
      onStoreReachable: () => undefined,
      onStoreUnreachable: () => undefined,
    },
    logger: createLogger('test', 'error', () => undefined),
    storeEra,
    fleet: () => ({ rank: 0, count: processes }),
    random: () => 0.5,
  });
}

test('reads a busy table at a low rate if many processes follow it', async () => {
  // Guards against every process reading every change: the store charges for calls and limits them.
  const { feed, calls } = createBusyFeed();
  let applied = 0;
  const follower = createFollower(feed, 20, () => {
    applied += 1;
  });
  const running = follower.run();
  await sleep(2000);
  assert.ok(applied > 0, 'expected at least one change to be applied, got none');
  assert.ok(calls.changes <= 4, `expected at most 4 reads in 2 s, got ${calls.changes}`);
  follower.dispose();
  await running;
});

test('reads an idle table as often in a large fleet as in a small one, all processes together', async () => {
  // Guards against calls that grow with the fleet while nothing changes.
  const readsPerSecond = async (processes: number) => {
    const waits: number[] = [];
    const feed: RowFeed = {
      ...createBusyFeed().feed,
      changes: async (_table, position, { waitMs }) => {
        waits.push(waitMs);
        await sleep(CHANGE_MS);
        return { ok: true, value: { kind: 'changes', page: { rows: [], position } } };
      },
    };
    const follower = createFollower(feed, processes, () => undefined);
    const running = follower.run();
    await sleep(5 * CHANGE_MS);
    follower.dispose();
    await running;
    assert.ok(waits.every((waitMs) => waitMs <= 30_000));
    // The first wait after a change depends on the rank of the process.
    return (processes * 1000) / waits[1]!;
  };
  const small = await readsPerSecond(4);
  assert.ok((await readsPerSecond(30)) < 1.2 * small);
  // From about 33 processes on, the longest wait that the store allows limits the effect.
  assert.ok((await readsPerSecond(68)) < 2.5 * small);
});

test('stops waiting for changes and reads the whole table when another one shows a restore', async () => {
  // Guards against a read that waits on a connection that the restore has silently broken.
  const storeEra = new StoreEra();
  const reads: number[] = [];
  const feed: RowFeed = {
    ...createBusyFeed().feed,
    readAll: async () => {
      reads.push(storeEra.current);
      return { ok: true, value: { rows: [], position: { era: storeEra.current, version: 9 } } };
    },
    changes: (_table, _position, { signal }) =>
      new Promise((resolve) => {
        const error = { kind: 'unavailable', message: 'aborted' } as const;
        signal?.addEventListener('abort', () => resolve({ ok: false, error }));
      }),
  };
  storeEra.observe(1);
  const follower = createFollower(feed, 2, () => undefined, storeEra);
  const running = follower.run();
  await sleep(CHANGE_MS);
  storeEra.observe(2);
  await sleep(CHANGE_MS);
  assert.deepEqual(reads, [1, 2]);
  follower.dispose();
  storeEra.observe(3);
  await Promise.race([running, sleep(CHANGE_MS)]);
});

test('asks without waiting after another one has shown a restore between two reads', async () => {
  const storeEra = new StoreEra();
  storeEra.observe(1);
  const waits: number[] = [];
  const row = { key: 'server', value: Buffer.from('row') };
  const feed: RowFeed = {
    ...createBusyFeed().feed,
    readAll: async () => ({ ok: true, value: { rows: [], position: { era: 1, version: 0 } } }),
    changes: async (_table, { version }, { waitMs }) => {
      waits.push(waitMs);
      await sleep(CHANGE_MS);
      return {
        ok: true,
        value: {
          kind: 'changes',
          page: { rows: [row], position: { era: 1, version: version + 1 } },
        },
      };
    },
  };
  // The pause after a change lasts 75 ms with two processes.
  const follower = createFollower(feed, 2, () => storeEra.observe(2), storeEra);
  const running = follower.run();
  await sleep(25 * CHANGE_MS);
  follower.dispose();
  await running;
  assert.ok(waits.length >= 3);
  assert.deepEqual(
    waits.map((waitMs) => waitMs > 0),
    waits.map((_, index) => index !== 1),
  );
});
