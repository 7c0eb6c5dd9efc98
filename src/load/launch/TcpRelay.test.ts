import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import { TcpRelay } from './TcpRelay.js';

async function withEcho(run: (relay: TcpRelay, open: () => Socket) => Promise<void>) {
  const echo = createServer((socket) => socket.on('error', () => undefined).pipe(socket));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const relay = new TcpRelay(`127.0.0.1:${(echo.address() as AddressInfo).port}`);
  const [host, port] = (await relay.listen()).split(':') as [string, string];
  const sockets: Socket[] = [];
  try {
    await run(relay, () => {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      sockets.push(socket);
      return socket;
    });
  } finally {
    sockets.forEach((socket) => socket.destroy());
    await relay.dispose();
    echo.close();
  }
}

test('a silenced connection stays open without a response while a new one works', async () => {
  // Guards against a silence fault that closes connections or also affects new ones.
  await withEcho(async (relay, open) => {
    const old = open();
    old.write('a');
    await once(old, 'data');
    assert.equal(relay.silence(), 1);
    let answered = false;
    old.on('data', () => {
      answered = true;
    });
    old.write('b');
    const next = open();
    next.write('c');
    const [bytes] = (await once(next, 'data')) as [Buffer];
    await sleep(50);
    assert.equal(bytes.toString(), 'c');
    assert.equal(answered, false);
    assert.equal(old.destroyed, false);
  });
});

test('cutAll closes open connections on the side of the caller', async () => {
  // Guards against a cut that callers cannot detect.
  await withEcho(async (relay, open) => {
    const socket = open();
    socket.write('a');
    await once(socket, 'data');
    assert.equal(relay.cutAll(), 1);
    await once(socket, 'close');
  });
});

test('bytes keep their order when a delay ends while some are still queued', async () => {
  // Guards against a relay that reorders bytes, which a TCP connection never does.
  await withEcho(async (relay, open) => {
    const socket = open();
    socket.setNoDelay(true);
    await once(socket, 'connect');
    let received = '';
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString();
    });
    relay.slow(100);
    socket.write('a');
    await sleep(30);
    relay.clearFaults();
    socket.write('b');
    await sleep(300);
    assert.equal(received, 'ab');
  });
});
