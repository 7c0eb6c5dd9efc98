import assert from 'node:assert/strict';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { HttpTableStore } from './HttpTableStore.js';

const OPTIONS = { timeoutMs: 150 };
const WRITE = { checks: [], writes: [{ table: 't', key: 'k', value: 1 }] };
const servers: Server[] = [];
const stores: HttpTableStore[] = [];

async function startStore(listener: RequestListener): Promise<HttpTableStore> {
  const server = createServer(listener);
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return createStore((server.address() as AddressInfo).port);
}

function createStore(port: number): HttpTableStore {
  const store = new HttpTableStore(`http://127.0.0.1:${port}`);
  stores.push(store);
  return store;
}

async function outcomeKinds(store: HttpTableStore): Promise<[string, string]> {
  const write = await store.transaction(WRITE, OPTIONS);
  const read = await store.read([{ table: 't', key: 'k' }], OPTIONS);
  return [write.ok ? 'ok' : write.error.kind, read.ok ? 'ok' : read.error.kind];
}

after(async () => {
  await Promise.all(stores.map((store) => store.close()));
  servers.forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

test('a write without a response is ambiguous, because it may have been executed', async () => {
  const silent = await startStore(() => undefined);
  assert.deepEqual(await outcomeKinds(silent), ['ambiguous', 'unavailable']);
  const closing = await startStore((request) => request.socket.destroy());
  assert.deepEqual(await outcomeKinds(closing), ['ambiguous', 'unavailable']);
  const cutOff = await startStore((_request, response) => {
    response.writeHead(200, { 'content-length': 50 });
    response.write('{"rows":', () => response.destroy());
  });
  assert.deepEqual(await outcomeKinds(cutOff), ['ambiguous', 'unavailable']);
});

test('a 503 and a refused connection are unavailable, so that a write can be retried', async () => {
  const down = await startStore((_request, response) => response.writeHead(503).end());
  assert.deepEqual(await outcomeKinds(down), ['unavailable', 'unavailable']);
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  assert.deepEqual(await outcomeKinds(createStore(port)), ['unavailable', 'unavailable']);
});

test('calls after a time-out use new connections, so that unresponsive ones do not delay them', async () => {
  const current = { table: 't', key: 'k', version: 3, value: 'x' };
  const openSockets = new Set<unknown>();
  const silentSockets = new Set<unknown>();
  let isSilent = false;
  const store = await startStore((request, response) => {
    openSockets.add(request.socket);
    if (isSilent) openSockets.forEach((socket) => silentSockets.add(socket));
    if (silentSockets.has(request.socket)) return;
    setTimeout(() => response.writeHead(409).end(JSON.stringify({ current })), 20);
  });
  await Promise.all([1, 2, 3, 4].map(() => store.transaction(WRITE, OPTIONS)));
  assert.equal(openSockets.size, 4);
  isSilent = true;
  const timedOut = await store.transaction(WRITE, OPTIONS);
  assert.equal(!timedOut.ok && timedOut.error.kind, 'ambiguous');
  isSilent = false;
  const result = await store.transaction(WRITE, OPTIONS);
  assert.deepEqual(result, { ok: false, error: { kind: 'conflict', current } });
});
