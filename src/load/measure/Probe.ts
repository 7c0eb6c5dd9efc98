/**
 * Loaded into a measured process before its own code (`node --import`): counts the bytes of all TCP
 * connections and answers requests for samples over the channel to the parent process.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import type { ProbeRequest, ProbeSample, Traffic } from './ProbeSample.js';

const MICROSECONDS_PER_MS = 1000;

const closed: Record<string, Traffic> = {};
const open = new Map<Socket, (socket: Socket) => string>();

function track(channel: string, nameOf: (socket: Socket) => string): void {
  subscribe(channel, (message) => {
    const { socket } = message as { socket: Socket };
    open.set(socket, nameOf);
    let name = '';
    // The port is known only while the socket is connected.
    socket.once('connect', () => {
      name = nameOf(socket);
    });
    socket.once('close', () => {
      open.delete(socket);
      add(closed, name === '' ? nameOf(socket) : name, socket);
    });
  });
}

function add(sums: Record<string, Traffic>, name: string, socket: Socket): void {
  const { readBytes, writtenBytes, connections } = sums[name] ?? EMPTY;
  Object.assign(sums, {
    [name]: {
      readBytes: readBytes + socket.bytesRead,
      writtenBytes: writtenBytes + socket.bytesWritten,
      connections: connections + 1,
    },
  });
}

const EMPTY: Traffic = { readBytes: 0, writtenBytes: 0, connections: 0 };

function sample(): ProbeSample {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed, external } = process.memoryUsage();
  const traffic = { ...closed };
  open.forEach((nameOf, socket) => add(traffic, nameOf(socket), socket));
  return {
    cpuMs: (user + system) / MICROSECONDS_PER_MS,
    rssBytes: rss,
    heapBytes: heapUsed + external,
    traffic,
  };
}

track('net.client.socket', (socket) => `out:${socket.remotePort ?? 0}`);
track('net.server.socket', () => 'in');

process.on('message', (message: ProbeRequest) => {
  if (message.kind !== 'sample') return;
  if (message.collect) globalThis.gc?.();
  process.send?.(sample());
});
// The channel must not keep a process alive that has ended its own work.
process.channel?.unref();
