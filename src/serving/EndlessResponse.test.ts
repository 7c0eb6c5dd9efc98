import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { call, startServer, stopServers, writeWithoutEnd } from './testing/RawServer.js';

const HEAD = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

const LIMITS = {
  informationalResponses: 4,
  bodyBytes: 256 * 1024,
  framingBytes: 256 * 1024,
  totalBytes: 1024 * 1024,
};

/** Time within which a call must fail, in ms; its time-out is 2 s. */
const MAX_DURATION_MS = 1500;

/** What the server sends: a start, and bytes that it repeats until the caller closes. */
const ENDLESS_RESPONSES: Readonly<Record<string, { start: string; repeated: string }>> = {
  'a header without an end': { start: `${HEAD}A: `, repeated: 'x'.repeat(1000) },
  'headers without an end': { start: HEAD, repeated: 'A: b\r\n'.repeat(100) },
  'blank lines before the head': { start: '', repeated: '\r\n'.repeat(2000) },
  'informational responses without an end': {
    start: '',
    repeated: 'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n',
  },
  'bytes that are no HTTP': { start: '', repeated: '\0\x01garbage'.repeat(100) },
  'a body that ends with the connection': { start: `${HEAD}\r\n`, repeated: 'x'.repeat(1000) },
  'a chunked body without an end': { start: CHUNKED, repeated: '8\r\nxxxxxxxx\r\n'.repeat(50) },
  'single bytes in chunks': { start: CHUNKED, repeated: '1\r\nx\r\n'.repeat(200) },
  'a chunk extension without an end': { start: `${CHUNKED}8;a=`, repeated: 'x'.repeat(1000) },
  'trailers without an end': { start: `${CHUNKED}0\r\n`, repeated: 'A: b\r\n'.repeat(100) },
};

describe('a response without an end', () => {
  afterEach(stopServers);

  Object.entries(ENDLESS_RESPONSES).forEach(([name, { start, repeated }]) => {
    it(`ends with a closed connection and bounded memory: ${name}`, async () => {
      // Guards against a server that takes the memory or the processor time of all callers.
      const server = await startServer((socket) => {
        socket.write(start);
        writeWithoutEnd(socket, repeated);
      }, LIMITS);
      const startedAt = performance.now();
      const response = await call(server);
      assert.equal(response.kind === 'failed' && response.failure.kind, 'broken');
      assert.ok(performance.now() - startedAt < MAX_DURATION_MS, 'waited for the time-out');
      assert.equal(server.memory.usedBytes, 0);
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
      assert.equal(server.openConnections(), 0);
    });
  });

  it('does not reach the next caller on an idle connection', async () => {
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      setTimeout(() => writeWithoutEnd(socket, 'HTTP/1.1 200 OK\r\n\r\nmore'), 10);
    }, LIMITS);
    await call(server);
    await new Promise((resolve) => {
      setTimeout(resolve, 60);
    });
    const response = await call(server);
    assert.equal(response.kind === 'answered' && response.body.toString(), 'ok');
    assert.equal(server.connections(), 2);
  });

  it('drops the bytes after a body of the declared length', async () => {
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      writeWithoutEnd(socket, 'x'.repeat(1000));
    }, LIMITS);
    const response = await call(server);
    assert.equal(response.kind === 'answered' && response.body.toString(), 'ok');
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    assert.equal(server.openConnections(), 0);
  });
});
