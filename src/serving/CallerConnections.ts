import type { Socket } from 'node:net';
import { chooseConnectionToClose } from '../common/requests/ConnectionLimit.js';
import type { Clock } from '../common/time/Types.js';
import { CallerConnection } from './CallerConnection.js';
import type { ClientRefusals } from './ClientRefusals.js';
import { PacedReading } from './PacedReading.js';

/** Time for which a client may read the last response of a connection that is closed, in ms. */
const CLOSE_DELAY_MS = 1000;

/** Longest time until a connection is closed, in ms; its client may not read the responses. */
const MAX_CLOSE_MS = 30_000;

/** Dependencies of {@link CallerConnections}. */
export interface CallerConnectionsServices {
  readonly clock: Clock;
  readonly refusals: ClientRefusals;
  /** Most open connections. */
  readonly maxConnections: number;
}

/** Connections of all callers. */
export class CallerConnections {
  private readonly open = new Map<Socket, CallerConnection>();

  /** Connections that are closed when their client has had time to read the last response. */
  private readonly closing = new Set<CallerConnection>();

  readonly pacedReading: PacedReading;

  constructor(private readonly services: CallerConnectionsServices) {
    this.pacedReading = new PacedReading({
      clock: services.clock,
      connections: () => this.open.values(),
      isBusy: () => this.hasOtherRequests,
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /** Called with each new connection, before it is read. */
  accept(socket: Socket): void {
    const { clock, refusals, maxConnections } = this.services;
    const connection = new CallerConnection(socket, clock.now());
    if (this.open.size >= maxConnections) {
      const victim = chooseConnectionToClose(this.open.values());
      refusals.record((victim ?? connection).address, 'connections');
      this.close(victim ?? connection);
      if (!victim) return;
    }
    this.open.set(socket, connection);
    socket.once('close', () => this.close(connection));
    this.pacedReading.accept(connection);
  }

  /** @returns connection of the socket; undefined if it is closed */
  of(socket: Socket): CallerConnection | undefined {
    return this.open.get(socket);
  }

  /** Reads nothing more of a connection, and closes it after the response that is due. */
  closeAfterResponse(connection: CallerConnection): void {
    connection.closeAfterResponse(() => this.services.clock.now());
    this.pacedReading.forget(connection);
    this.closing.add(connection);
  }

  /** Closes connections whose clients have had time to read the last response. */
  closeFinished(): void {
    const now = this.services.clock.now();
    this.closing.forEach((connection) => {
      const { closingSince, finishedAt } = connection;
      const isDue = now - finishedAt >= CLOSE_DELAY_MS || now - closingSince >= MAX_CLOSE_MS;
      if (isDue) this.close(connection);
    });
  }

  dispose(): void {
    this.pacedReading.dispose();
  }

  private get hasOtherRequests(): boolean {
    for (const { requestsRunning, awaitingClient } of this.open.values()) {
      if (requestsRunning > awaitingClient) return true;
    }
    return false;
  }

  private close(connection: CallerConnection): void {
    this.open.delete(connection.socket);
    this.closing.delete(connection);
    this.pacedReading.forget(connection);
    connection.socket.destroy();
    connection.endRequests();
  }
}
