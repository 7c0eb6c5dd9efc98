import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { HttpCaller, type HttpCall } from './HttpCaller.js';

const CALL: HttpCall = { method: 'GET', path: '/', isWrite: false };

test('the time-out also covers the wait for a connection, so that a follower keeps polling', async (t) => {
  const server = createServer(() => undefined);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const caller = new HttpCaller(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  t.after(async () => {
    await caller.close();
    server.closeAllConnections();
    server.close();
  });
  const hanging = Array.from({ length: 32 }, () => caller.call(CALL, { timeoutMs: 2000 }));
  await sleep(100);
  const startedAt = performance.now();
  const result = await caller.call(CALL, { timeoutMs: 100 });
  assert.equal(result.ok, false);
  assert.ok(
    performance.now() - startedAt < 1000,
    'the call must end at its own time-out of 100 ms',
  );
  await Promise.all(hanging);
});
