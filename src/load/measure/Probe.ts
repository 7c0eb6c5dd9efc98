/**
 * Probe preloaded into a measured process (`node --import`). Counts the bytes of all TCP
 * connections and answers sample requests over the IPC channel to the parent process.
 */
import { subscribe } from 'node:diagnostics_channel';
import type { Socket } from 'node:net';
import type { ProbeRequest, ProbeSample, Traffic } from './ProbeSample.js';

const MICROSECONDS_PER_MS = 1000;

const closedTraffic: Record<string, Traffic> = {};
const openSockets = new Map<Socket, (socket: Socket) => string>();

function track(channel: string, nameOf: (socket: Socket) => string): void {
  subscribe(channel, (message) => {
    const { socket } = message as { socket: Socket };
    openSockets.set(socket, nameOf);
    let connectedName = '';
    // The remote port is available only while the socket is connected.
    socket.once('connect', () => {
      connectedName = nameOf(socket);
    });
    socket.once('close', () => {
      openSockets.delete(socket);
      addTraffic(closedTraffic, connectedName === '' ? nameOf(socket) : connectedName, socket);
    });
  });
}

function addTraffic(sums: Record<string, Traffic>, name: string, socket: Socket): void {
  const { readBytes, writtenBytes, connections } = sums[name] ?? NO_TRAFFIC;
  Object.assign(sums, {
    [name]: {
      readBytes: readBytes + socket.bytesRead,
      writtenBytes: writtenBytes + socket.bytesWritten,
      connections: connections + 1,
    },
  });
}

const NO_TRAFFIC: Traffic = { readBytes: 0, writtenBytes: 0, connections: 0 };

function takeSample(): ProbeSample {
  const { user, system } = process.cpuUsage();
  const { rss, heapUsed, external } = process.memoryUsage();
  const traffic = { ...closedTraffic };
  openSockets.forEach((nameOf, socket) => addTraffic(traffic, nameOf(socket), socket));
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
  process.send?.(takeSample());
});
// The IPC channel must not keep the process alive after its work has ended.
process.channel?.unref();
