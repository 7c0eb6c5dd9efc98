import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { findFreePorts, LOOPBACK } from '../../load/launch/Ports.js';
import { createLogger } from '../../telemetry/Logger.js';
import { ChannelServer } from './ChannelServer.js';

/** Lines of peers that cost more than their bytes, or that are no messages. */
const HARMFUL_LINES: Readonly<Record<string, string>> = {
  'nested arrays': `${'['.repeat(3_000_000)}\n`,
  'empty arrays': `{"type":"release","handles":[${'[],'.repeat(1_000_000)}[]]}\n`,
  'malformed messages': '{"type":"other"}\n'.repeat(20),
  'empty lines': '\n'.repeat(100_000),
  'a line without an end': 'x'.repeat(5_000_000),
};

let server: ChannelServer;
let port: number;
let released: readonly string[] = [];

/** @returns connection to the server */
async function open(): Promise<Socket> {
  const socket = connect({ host: LOOPBACK, port });
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

beforeEach(async () => {
  [port] = (await findFreePorts(1)) as [number];
  released = [];
  const handler = {
    runStage: () => Promise.resolve({ kind: 'failed' } as const),
    release: (handles: readonly string[]) => {
      released = handles;
    },
  };
  server = new ChannelServer(
    handler,
    createLogger('test', 'error', () => undefined),
  );
  await server.listen(LOOPBACK, port);
});

afterEach(() => server.dispose());

describe('ChannelServer', () => {
  Object.entries(HARMFUL_LINES).forEach(([name, text]) => {
    it(`closes a connection with ${name} and serves the others`, async () => {
      // Guards against a peer that takes the memory or the processor time of this process.
      const sound = await open();
      const harmful = await open();
      harmful.write(text);
      harmful.resume();
      // `once` would reject when the connection is reset.
      await new Promise((resolve) => {
        harmful.on('close', resolve);
      });
      sound.write('{"type":"release","handles":["h1"]}\n');
      sound.write('{"type":"run","id":1,"order":{}}\n');
      sound.write('{"type":"release","handles":["h2"]}\n');
      while (released[0] !== 'h2') {
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
      }
      assert.ok(!sound.destroyed);
      sound.destroy();
    });
  });
});
