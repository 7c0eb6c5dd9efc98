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
    readAll: async () => ({ ok: true, value: { rows: [], version: 0 } }),
    changes: async (_table, version) => {
      calls.changes += 1;
      await sleep(CHANGE_MS);
      const rows = [{ key: 'server', value: Buffer.from('row') }];
      return { ok: true, value: { kind: 'changes', page: { rows, version: version + 1 } } };
    },
    write: async () => ({ ok: true, value: undefined }),
    close: async () => undefined,
  };
  return { feed, calls };
}

test('reads a busy table at a low rate if many processes follow it', async () => {
  // Guards against every process reading every change: the store charges for calls and limits them.
  const { feed, calls } = createBusyFeed();
  let applied = 0;
  const follower = new TableFollower({
    feed,
    table: 'servers',
    waitMs: 3000,
    listener: {
      replaceAll: () => undefined,
      apply: () => {
        applied += 1;
      },
      onStoreReachable: () => undefined,
      onStoreUnreachable: () => undefined,
    },
    logger: createLogger('test', 'error', () => undefined),
    processCount: () => 20,
    random: () => 0.5,
  });
  const running = follower.run();
  await sleep(2000);
  assert.ok(applied > 0, 'expected at least one change to be applied, got none');
  assert.ok(calls.changes <= 4, `expected at most 4 reads in 2 s, got ${calls.changes}`);
  follower.dispose();
  await running;
});
