import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RowFeed } from '../storage/RowFeed.js';
import { createLogger } from '../telemetry/Logger.js';
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
function createFollower(feed: RowFeed, processes: number, apply: () => void): TableFollower {
  return new TableFollower({
    feed,
    table: 'servers',
    waitMs: 3000,
    maxReadGapMs: 1000,
    listener: {
      replaceAll: () => undefined,
      apply,
      onStoreReachable: () => undefined,
      onStoreUnreachable: () => undefined,
    },
    logger: createLogger('test', 'error', () => undefined),
    processCount: () => processes,
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
    return (processes * 1000) / waits[0]!;
  };
  const small = await readsPerSecond(4);
  assert.ok((await readsPerSecond(30)) < 1.2 * small);
  // From about 33 processes on, the longest wait that the store allows limits the effect.
  assert.ok((await readsPerSecond(68)) < 2.5 * small);
});
