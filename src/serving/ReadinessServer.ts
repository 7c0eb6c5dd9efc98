import { createServer, type Server } from 'node:http';
import type { Socket } from 'node:net';
import { hasBody } from './HttpHeaders.js';
import { parseSocketAddress } from './SocketAddress.js';

/** Largest head of a check, in bytes. */
const MAX_HEADER_BYTES = 8192;

/** Time in which a check has to arrive, in ms, and interval at which this is looked at. */
const REQUEST_TIMEOUT_MS = 5000;
const CONNECTION_CHECK_MS = 1000;

/** Most connections; a new one replaces the oldest, so that checks always get through. */
const MAX_CONNECTIONS = 64;

/** Answers the readiness checks of the load balancer: 200 if callers can be served, else 503. */
export class ReadinessServer {
  private readonly server: Server;

  /** Open connections, in the order of their acceptance. */
  private readonly sockets = new Set<Socket>();

  /** @param isReady - returns whether callers can be served */
  constructor(isReady: () => boolean) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: REQUEST_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      },
      (request, response) => {
        // Checks have no body. One that follows is not read.
        if (hasBody(request.rawHeaders)) response.setHeader('Connection', 'close');
        response.writeHead(isReady() ? 200 : 503).end();
      },
    );
    this.server.on('connection', (socket) => this.accept(socket));
  }

  /**
   * @param address - `ip:port` to listen on
   * @throws if the address cannot be used
   */
  async listen(address: string): Promise<void> {
    const { ip, port } = parseSocketAddress(address);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    const [oldest] = this.sockets;
    if (this.sockets.size > MAX_CONNECTIONS) oldest?.destroy();
  }
}
