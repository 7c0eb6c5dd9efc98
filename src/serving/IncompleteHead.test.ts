import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { call, startServer, stopServers } from './testing/RawServer.js';

afterEach(stopServers);

const HEADS = [
  'HTTP/1.1 200',
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 200 OK\r\nContent-Length: 0',
  'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n',
  'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Le',
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r',
];

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => socket.end(),
  resets: (socket) => socket.resetAndDestroy(),
};

describe('a server that stops within the head of its response', () => {
  // Guards against a response whose body counts as empty and complete.
  Object.entries(ENDS).forEach(([name, end]) =>
    it(`and ${name} the connection has sent no response`, async () => {
      for (const head of HEADS) {
        const server = await startServer((socket) => socket.write(head, () => end(socket)));
        const response = await call(server);
        assert.equal(response.kind, 'failed', head);
        assert.ok(response.kind === 'failed' && response.failure.kind === 'broken', head);
      }
    }),
  );
});
