import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Tracks the open connections of a server and can silence them. */
export class ConnectionSet {
  private readonly open = new Set<Socket>();

  private readonly silent = new WeakSet<Socket>();

  /** @param server - server whose connections are tracked */
  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.open.add(socket);
      socket.once('close', () => this.open.delete(socket));
    });
  }

  /**
   * Whether a connection was silenced.
   * @param socket - connection
   * @returns true after {@link silenceAll} has affected the connection
   */
  isSilent(socket: Socket): boolean {
    return this.silent.has(socket);
  }

  /**
   * Stops reading from and writing to all open connections without closing them, as if the network
   * dropped their packets. Connections opened later are not affected.
   * @param except - connection that is not silenced
   * @returns number of connections silenced
   */
  silenceAll(except: Socket): number {
    const affected = [...this.open].filter(
      (socket) => socket !== except && !this.silent.has(socket),
    );
    affected.forEach((socket) => this.silence(socket));
    return affected.length;
  }

  /** Closes all connections. */
  destroyAll(): void {
    this.open.forEach((socket) => socket.destroy());
  }

  private silence(socket: Socket): void {
    this.silent.add(socket);
    socket.pause();
    // The HTTP server of Node.js writes to and closes connections with these methods.
    Object.assign(socket, {
      write: () => true,
      end: () => socket,
      destroySoon: () => undefined,
    });
  }
}
