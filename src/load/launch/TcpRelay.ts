import { performance } from 'node:perf_hooks';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './Ports.js';

/** Which bytes a silent connection drops. */
export type SilentDirection = 'both' | 'requests' | 'answers';

type Direction = Exclude<SilentDirection, 'both'>;

/** Bytes that are delayed. */
interface DelayedBytes {
  readonly bytes: Buffer;
  /** Monotonic time at which they are passed on. */
  readonly at: number;
}

/** A pair of sockets. */
interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  /** Drops bytes and never closes if set. */
  silent: SilentDirection | undefined;
  /** Monotonic time of the last transfer; the connection carries an exchange if it is recent. */
  activeAt: number;
  /** Bytes under way, in order. */
  readonly delayed: Record<Direction, DelayedBytes[]>;
  /** Gets the answers; another connection's near side after two were crossed. */
  receiver: Socket;
}

/** Streams have a heartbeat every 250 ms; connections without a transfer for longer are idle. */
const IDLE_AFTER_MS = 400;

/** One whole chunk of a chunked HTTP body, but not the last one. */
const WHOLE_CHUNK = /^[1-9a-f][0-9a-f]*\r\n[^]*\r\n$/i;

/**
 * Relay of TCP connections to one target. Open connections can fall silent for good, be cut, have
 * their answers crossed or parts of their answers repeated.
 */
export class TcpRelay {
  private readonly connections = new Set<Connection>();

  private readonly server: Server;

  /** `ip:port` of the relay while it listens. */
  address = '';

  /** Added to every transfer in each direction, in milliseconds. */
  delayMs = 0;

  /** New connections are closed at once while this is set. */
  refusing = false;

  /** Open connections that were made silent. */
  silenced = 0;

  /** Open connections that were cut. */
  cut = 0;

  /** Every part of an answer that is one chunk of a chunked HTTP body is sent twice if set. */
  repeating = false;

  /** Parts that were sent twice. */
  repeated = 0;

  /** Connections whose answers went to another connection. */
  crossed = 0;

  /** @param target - `ip:port` behind the relay */
  constructor(private readonly target: string) {
    this.server = createServer((near) => this.accept(near));
  }

  /**
   * @param port - port to listen on; 0 for any
   * @returns `ip:port` of the relay
   */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, LOOPBACK, resolve);
    });
    this.address = `${LOOPBACK}:${(this.server.address() as AddressInfo).port}`;
    return this.address;
  }

  /**
   * Makes all open connections silent for good; new ones work.
   * @param direction - bytes to drop
   * @returns number of connections made silent
   */
  silence(direction: SilentDirection = 'both'): number {
    const open = [...this.connections].filter((connection) => !connection.silent);
    open.forEach((connection) => Object.assign(connection, { silent: direction }));
    this.silenced += open.length;
    return open.length;
  }

  /**
   * Closes all open connections without a proper end.
   * @returns number of connections cut
   */
  cutAll(): number {
    const open = [...this.connections];
    open.forEach((connection) => this.drop(connection));
    this.cut += open.length;
    return open.length;
  }

  /**
   * Exchanges the answers of connections in use, two by two.
   * @returns number of connections whose answers go to another one from now on
   */
  cross(): number {
    const now = performance.now();
    const active = [...this.connections].filter(
      (connection) => now - connection.activeAt < IDLE_AFTER_MS && !connection.silent,
    );
    const pairs = Math.floor(active.length / 2);
    for (let pair = 0; pair < pairs; pair += 1) {
      const left = active[2 * pair]!;
      const right = active[2 * pair + 1]!;
      [left.receiver, right.receiver] = [right.receiver, left.receiver];
    }
    this.crossed += 2 * pairs;
    return 2 * pairs;
  }

  /** Ends delays and refusals; connections that are silent stay so. */
  heal(): void {
    this.refusing = false;
    this.delayMs = 0;
  }

  /** @param delayMs - added to every transfer in each direction */
  slow(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Closes all connections, and new ones at once until the relay is healed. */
  refuse(): void {
    this.refusing = true;
    this.cutAll();
  }

  /** Closes listener and connections. */
  async dispose(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    [...this.connections].forEach((connection) => this.drop(connection));
    await closed;
  }

  private accept(near: Socket): void {
    if (this.refusing) {
      near.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect(Number(port), host);
    const connection: Connection = {
      near,
      far,
      silent: undefined,
      activeAt: 0,
      delayed: { requests: [], answers: [] },
      receiver: near,
    };
    this.connections.add(connection);
    near.on('data', (bytes) => {
      connection.activeAt = performance.now();
      this.send(connection, 'requests', bytes);
    });
    far.on('data', (bytes) => {
      connection.activeAt = performance.now();
      this.send(connection, 'answers', bytes);
      if (this.repeating && WHOLE_CHUNK.test(bytes.toString('latin1'))) {
        this.repeated += 1;
        this.send(connection, 'answers', bytes);
      }
    });
    [near, far].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (!connection.silent) this.drop(connection);
      });
    });
  }

  private send(connection: Connection, direction: Direction, bytes: Buffer): void {
    const queue = connection.delayed[direction];
    if (this.delayMs === 0 && queue.length === 0) {
      this.pass(connection, direction, bytes);
      return;
    }
    queue.push({ bytes, at: performance.now() + this.delayMs });
    if (queue.length === 1) this.passNext(connection, direction);
  }

  /** Passes delayed bytes on one by one, since a delay may be shorter than the one before. */
  private passNext(connection: Connection, direction: Direction): void {
    const queue = connection.delayed[direction];
    const [next] = queue;
    if (!next) return;
    setTimeout(() => {
      this.pass(connection, direction, next.bytes);
      queue.shift();
      this.passNext(connection, direction);
    }, next.at - performance.now());
  }

  private pass({ silent, far, receiver }: Connection, direction: Direction, bytes: Buffer): void {
    if (silent === 'both' || silent === direction) return;
    (direction === 'requests' ? far : receiver).write(bytes);
  }

  private drop(connection: Connection): void {
    connection.near.destroy();
    connection.far.destroy();
    if (connection.receiver !== connection.near) connection.receiver.destroy();
    this.connections.delete(connection);
  }
}
