/** TCP servers that answer with raw bytes, and pools of connections to them. */
import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { ResponseMemory } from '../../common/response/ResponseMemory.js';
import { ResponseLimits } from '../../common/response/Types.js';
import { createServer as createBackendServer } from '../../common/serving/testing/fixtures.js';
import { SystemClock } from '../../storage/SystemClock.js';
import { bufferedCall, type BufferedResponse } from '../BufferedCall.js';
import { ServerConnectionPool } from '../ServerConnectionPool.js';

const CALL_TIMEOUT_MS = 2000;
const MAX_CONNECTIONS = 10;

/** Responds to received data with raw bytes. */
export type Responder = (socket: Socket) => void;

/** A TCP server that does not parse HTTP, and a pool of connections to it. */
export interface RawServer {
  readonly pool: ServerConnectionPool;
  readonly server: Server;
  readonly memory: ResponseMemory;
  connections(): number;
  openConnections(): number;
}

const running: RawServer[] = [];

/**
 * @param respond - called with each received chunk
 * @param limits - limits of responses that differ from the defaults
 * @returns a listening server
 */
export async function startServer(
  respond: Responder,
  limits: Partial<ResponseLimits> = {},
): Promise<RawServer> {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', () => respond(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const responses = ResponseLimits.parse(limits);
  const memory = new ResponseMemory(responses.totalBytes);
  const pool = new ServerConnectionPool(
    createBackendServer('s1', { service: 'plain', address: `127.0.0.1:${port}` }),
    new SystemClock(),
    () => MAX_CONNECTIONS,
    { responses, memory },
  );
  const raw = {
    pool,
    server,
    memory,
    connections: () => connections,
    openConnections: () => sockets.size,
  };
  running.push(raw);
  return raw;
}

/** Sends a request and buffers the response. */
export function call({ pool }: RawServer): Promise<BufferedResponse> {
  const request = { method: 'GET', path: '/', headers: [], needsNewConnection: false };
  return bufferedCall(pool, request, { timeoutMs: CALL_TIMEOUT_MS });
}

/** Closes all servers and pools. */
export function stopServers(): void {
  running.splice(0).forEach(({ pool, server }) => {
    pool.close();
    server.close();
  });
}

/** Writes the same bytes until the connection is closed. */
export function writeWithoutEnd(socket: Socket, bytes: string): void {
  const write = () => {
    while (!socket.destroyed && socket.write(bytes));
    if (!socket.destroyed) socket.once('drain', write);
  };
  write();
}
