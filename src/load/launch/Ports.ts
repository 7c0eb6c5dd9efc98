/** Free ports of the loopback interface. */
import { createServer, type Server } from 'node:net';

/** Only address that launched processes use. */
export const LOOPBACK = '127.0.0.1';

/**
 * Ports are taken below the usual ephemeral range, so that an outgoing connection does not take the
 * port of a process that is being restarted.
 */
const FIRST_PORT = 11_000;
const LAST_PORT = 31_000;

/** Several launchers run at once on one machine; the process id spreads their first candidates. */
let candidate = FIRST_PORT + ((process.pid * 137) % (LAST_PORT - FIRST_PORT));

/**
 * Reserves distinct ports by listening on all of them at once, then closes the listeners.
 * @param count - number of ports wanted
 * @returns ports that were free a moment ago
 */
export async function freePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    candidate = candidate >= LAST_PORT ? FIRST_PORT : candidate + 1;
    const server = await listenOn(candidate);
    if (!server) continue;
    servers.push(server);
    ports.push(candidate);
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
