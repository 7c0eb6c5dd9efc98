import { createSocket, type Socket } from 'node:dgram';
import { createServer, type Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import type { Metrics } from '../../telemetry/Metrics.js';
import type { Logger } from '../../telemetry/Logger.js';
import { PEER_PATH } from './PeerClients.js';
import { Heartbeat } from './PeerMessages.js';
import type { PeerRouter } from './PeerRouter.js';

/** Heartbeat interval, in ms: a dead peer is noticed in about a second. */
export const HEARTBEAT_MS = 250;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly ip: string;
  readonly port: number;
  readonly router: PeerRouter;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** @returns heartbeat to send */
  readonly heartbeat: () => Heartbeat;
  /** @returns addresses to send it to */
  readonly targets: () => readonly string[];
  readonly onHeartbeat: (heartbeat: Heartbeat) => void;
}

/** Serves calls, heartbeats and metrics to the other processes of the system. */
export class PeerServer {
  private readonly server: Server;

  private readonly socket: Socket = createSocket('udp4');

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PeerServerOptions) {
    const { router, metrics } = options;
    const handle = createHTTPHandler({ router, basePath: `${PEER_PATH}/` });
    this.server = createServer((request, response) => {
      if (request.url === '/metrics') metrics.handle(request, response);
      else handle(request, response);
    });
    this.server.keepAliveTimeout = 10_000;
    this.socket.on('message', (data) => this.receive(data));
    this.socket.on('error', (error) => options.logger.warn('datagram socket failed', { error }));
  }

  async start(): Promise<void> {
    const { ip, port } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    this.socket.bind(port, ip);
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  /** Sends a heartbeat now. */
  beat(): void {
    const data = Buffer.from(JSON.stringify(this.options.heartbeat()));
    this.options.targets().forEach((address) => {
      const separator = address.lastIndexOf(':');
      const port = Number(address.slice(separator + 1));
      this.socket.send(data, port, address.slice(0, separator), () => {
        // Datagrams may be lost; the next one follows shortly.
      });
    });
  }

  dispose(): void {
    clearInterval(this.timer);
    this.socket.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(data: Buffer): void {
    try {
      this.options.onHeartbeat(Heartbeat.parse(JSON.parse(data.toString('utf8'))));
    } catch (error) {
      this.options.logger.warn('malformed heartbeat ignored', { error });
    }
  }
}
