import { createServer, type Server } from 'node:http';
import { parseSocketAddress } from './SocketAddress.js';

/** Answers the readiness checks of the load balancer: 200 if callers can be served, else 503. */
export class ReadinessServer {
  private readonly server: Server;

  /** @param isReady - returns whether callers can be served */
  constructor(isReady: () => boolean) {
    this.server = createServer((_request, response) => {
      response.writeHead(isReady() ? 200 : 503).end();
    });
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
}
