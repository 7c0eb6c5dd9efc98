/** Allocation of free ports on the loopback interface. */
import { createServer, type Server } from 'node:net';

/** Address that all launched processes listen on. */
export const LOOPBACK = '127.0.0.1';

/**
 * Ports are chosen below the usual ephemeral range, so that no outgoing connection occupies the port
 * of a process that is being restarted.
 */
const FIRST_PORT = 11_000;
const LAST_PORT = 31_000;

/** Starts at an offset from the process id, since several launchers may run on one machine. */
let nextPort = FIRST_PORT + ((process.pid * 137) % (LAST_PORT - FIRST_PORT));

/**
 * Finds distinct free ports by listening on all of them at the same time, then closes the listeners.
 * @param count - number of ports
 * @returns ports that were free during the call; they are not reserved afterwards
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    nextPort = nextPort >= LAST_PORT ? FIRST_PORT : nextPort + 1;
    const server = await listenOn(nextPort);
    if (!server) continue;
    servers.push(server);
    ports.push(nextPort);
  }
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
}

function listenOn(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, LOOPBACK, () => resolve(server));
  });
}
