import { createSocket, type Socket } from 'node:dgram';
import { createServer, type Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { parseJson } from '../../common/json/BoundedJson.js';
import type { Metrics } from '../../telemetry/Metrics.js';
import type { Logger } from '../../telemetry/Logger.js';
import { hasBody } from '../HttpHeaders.js';
import { PEER_PATH } from './PeerClients.js';
import { Heartbeat } from './PeerMessages.js';
import type { PeerRouter } from './PeerRouter.js';

/** Heartbeat interval, in ms. Peers detect a dead process in about a second. */
export const HEARTBEAT_INTERVAL_MS = 250;

/** Time for which news for the peers is collected before a heartbeat is sent out of turn, in ms. */
const ANNOUNCEMENT_DELAY_MS = 30;

/**
 * Maximum number of heartbeats out of turn that are saved up; each one in turn adds one. A failure
 * domain that is cold at once is found within several of them.
 */
const MAX_ANNOUNCEMENTS = 8;

/** Bounds of a heartbeat, which fits in one datagram. */
const HEARTBEAT_BOUNDS = { maxValues: 20_000 };

/** Largest body of a call; calls of peers are queries without one. */
const MAX_CALL_BYTES = 64 * 1024;

/** Time in which a call has to arrive, in ms, and interval at which this is looked at. */
const REQUEST_TIMEOUT_MS = 10_000;
const CONNECTION_CHECK_MS = 1000;

/** Most connections; several times those of the largest deployment. */
const MAX_CONNECTIONS = 256;

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly ip: string;
  readonly port: number;
  readonly router: PeerRouter;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** @returns heartbeat to send */
  readonly heartbeat: () => Heartbeat;
  /** Called when it was sent. */
  readonly onHeartbeatSent: () => void;
  /** @returns addresses of the peers that it is sent to */
  readonly peerAddresses: () => readonly string[];
  /** Called with each valid heartbeat of a peer. */
  readonly onHeartbeat: (heartbeat: Heartbeat) => void;
}

/** Serves calls and metrics to other processes, and sends and receives heartbeats. */
export class PeerServer {
  private readonly server: Server;

  private readonly socket: Socket = createSocket('udp4');

  private timer: NodeJS.Timeout | undefined;

  private announcement: NodeJS.Timeout | undefined;

  private announcementsLeft = MAX_ANNOUNCEMENTS;

  private isDisposed = false;

  constructor(private readonly options: PeerServerOptions) {
    const { router, metrics } = options;
    const handle = createHTTPHandler({
      router,
      basePath: `${PEER_PATH}/`,
      maxBodySize: MAX_CALL_BYTES,
    });
    this.server = createServer(
      {
        headersTimeout: REQUEST_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: CONNECTION_CHECK_MS,
      },
      (request, response) => {
        // No call has a body. One that follows is not read.
        if (hasBody(request.rawHeaders)) response.setHeader('Connection', 'close');
        if (request.url === '/metrics') metrics.handle(request, response);
        else handle(request, response);
      },
    );
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.keepAliveTimeout = 10_000;
    this.socket.on('message', (data) => this.receive(data));
    this.socket.on('error', (error) => options.logger.warn('heartbeat socket failed', { error }));
  }

  async start(): Promise<void> {
    const { ip, port } = this.options;
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, ip, resolve);
    });
    this.socket.bind(port, ip);
    this.timer = setInterval(() => {
      this.announcementsLeft = Math.min(MAX_ANNOUNCEMENTS, this.announcementsLeft + 1);
      this.sendHeartbeat();
    }, HEARTBEAT_INTERVAL_MS);
  }

  /** Sends a heartbeat to all peers. */
  sendHeartbeat(): void {
    const data = Buffer.from(JSON.stringify(this.options.heartbeat()));
    this.options.peerAddresses().forEach((address) => {
      const separator = address.lastIndexOf(':');
      const port = Number(address.slice(separator + 1));
      this.socket.send(data, port, address.slice(0, separator), () => {
        // Send errors are ignored: datagrams may be lost anyway, and the next one follows shortly.
      });
    });
    this.options.onHeartbeatSent();
  }

  /** Sends a heartbeat soon, without waiting for the interval, unless many were sent so lately. */
  announce(): void {
    if (this.isDisposed || this.announcementsLeft === 0) return;
    this.announcement ??= setTimeout(() => {
      this.announcement = undefined;
      this.announcementsLeft -= 1;
      this.sendHeartbeat();
    }, ANNOUNCEMENT_DELAY_MS);
  }

  dispose(): void {
    this.isDisposed = true;
    clearInterval(this.timer);
    clearTimeout(this.announcement);
    this.socket.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(data: Buffer): void {
    try {
      this.options.onHeartbeat(Heartbeat.parse(parseJson(data.toString('utf8'), HEARTBEAT_BOUNDS)));
    } catch (error) {
      this.options.logger.warn('malformed heartbeat ignored', { error });
    }
  }
}
