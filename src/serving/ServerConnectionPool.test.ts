import assert from 'node:assert/strict';
import { once } from 'node:events';
import { afterEach, describe, it } from 'node:test';
import { call, startServer, stopServers } from './testing/RawServer.js';

const pause = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('ServerConnectionPool', () => {
  afterEach(stopServers);

  it('accepts a body without a length that ends with its connection', async () => {
    // Guards against rejecting valid responses that have neither a length nor chunked framing.
    const server = await startServer((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
    const response = await call(server);
    assert.equal(response.kind === 'answered' && response.body.toString(), 'whole');
  });

  it('reports a body without a length as broken if its connection is reset', async () => {
    // Guards against forwarding a truncated response as a complete one.
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    const response = await call(server);
    assert.equal(response.kind === 'failed' && response.failure.kind, 'broken');
  });

  it('reports a body without a length as broken if data and reset arrive together', async () => {
    // Guards against forwarding a truncated response as a complete one: in this case Node.js
    // reports the end of the stream and no error.
    const server = await startServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart');
      socket.resetAndDestroy();
    });
    const response = await call(server);
    assert.equal(response.kind === 'failed' && response.failure.kind, 'broken');
  });

  it('reports a refused connection as unsent', async () => {
    // Guards against reporting an unknown outcome although no byte of the request was sent.
    const server = await startServer(() => undefined);
    server.server.close();
    await once(server.server, 'close');
    const response = await call(server);
    assert.equal(response.kind === 'failed' && response.failure.kind, 'unsent');
  });

  it('does not mistake a surplus response for the response to the next request', async () => {
    // Guards against sending a surplus response on a reused connection to another caller.
    const answer = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n';
    const server = await startServer((socket) => socket.write(`${answer}one${answer}two`));
    const first = await call(server);
    await pause(60);
    const second = await call(server);
    assert.equal(first.kind === 'answered' && first.body.toString(), 'one');
    assert.equal(second.kind === 'answered' && second.body.toString(), 'one');
    assert.equal(server.connections(), 2);
  });

  it('reuses an idle connection', async () => {
    const server = await startServer((socket) =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'),
    );
    await call(server);
    await pause(60);
    await call(server);
    assert.equal(server.connections(), 1);
  });
});
