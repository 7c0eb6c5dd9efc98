import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { PeerServer, type PeerServerOptions } from './PeerServer.js';
import { createHeartbeat } from './testing/fixtures.js';

/** @returns server without peers that listens, and the number of heartbeats that it has sent */
async function startServer(): Promise<{ server: PeerServer; count: () => number }> {
  let heartbeats = 0;
  const options: Partial<PeerServerOptions> = {
    ip: '127.0.0.1',
    port: 0,
    heartbeat: () => {
      heartbeats += 1;
      return createHeartbeat('own');
    },
    onHeartbeatSent: () => undefined,
    peerAddresses: () => [],
  };
  const server = new PeerServer(options as PeerServerOptions);
  await server.start();
  return { server, count: () => heartbeats };
}

describe('PeerServer', () => {
  it('announces nothing after its end', async () => {
    // Guards against an exception on the closed socket when a response arrives during the exit.
    const { server, count } = await startServer();
    server.dispose();
    server.announce();
    await sleep(100);
    assert.equal(count(), 0);
  });

  it('announces soon, but not without end', async () => {
    // Guards against a server that says with each response that it is cold for a moment: every
    // process would send heartbeats to all others as fast as it can.
    const { server, count } = await startServer();
    server.announce();
    await sleep(100);
    assert.ok(count() >= 1);
    for (let step = 0; step < 100; step += 1) {
      server.announce();
      await sleep(10);
    }
    server.dispose();
    assert.ok(count() <= 20, `${count()} heartbeats`);
  });
});
