import { performance } from 'node:perf_hooks';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { LOOPBACK } from './Ports.js';

/** Direction in which a silenced connection drops bytes. */
export type SilentDirection = 'both' | 'requests' | 'answers';

type Direction = Exclude<SilentDirection, 'both'>;

/** Bytes queued until their delay has passed. */
interface DelayedBytes {
  readonly bytes: Buffer;
  /** Monotonic time at which the bytes are forwarded, in ms. */
  readonly dueAt: number;
}

/** A relayed connection: the socket of the caller and the socket to the target. */
interface Connection {
  readonly callerSocket: Socket;
  readonly targetSocket: Socket;
  /** If set, bytes in this direction are dropped and the connection is not closed by either side. */
  silentDirection: SilentDirection | undefined;
  /** Monotonic time of the last transfer, in ms; a recent one means that an exchange is in progress. */
  lastTransferAt: number;
  /** Delayed bytes of each direction, in order. */
  readonly queues: Record<Direction, DelayedBytes[]>;
  /** Socket that receives the answers; that of another caller after the answers were swapped. */
  answerSocket: Socket;
}

const MS_PER_S = 1000;

/** Connections without a transfer for this time are idle; streams have a heartbeat every 250 ms. */
const IDLE_AFTER_MS = 400;

/** One complete chunk of a chunked HTTP body, except the terminating empty chunk. */
const COMPLETE_CHUNK = /^[1-9a-f][0-9a-f]*\r\n[^]*\r\n$/i;

/**
 * Relays TCP connections to one target and injects network faults: it can silence, cut or delay open
 * connections, swap the answers of two connections, duplicate chunks of answers, and refuse new
 * connections.
 */
export class TcpRelay {
  private readonly connections = new Set<Connection>();

  private readonly server: Server;

  /** `ip:port` of the relay while it listens. */
  address = '';

  /** Delay of every transfer in each direction, in milliseconds. */
  delayMs = 0;

  /** Bytes of answers that pass in a second, over all connections. */
  private answerBytesPerS = Infinity;

  /** Monotonic time at which the answers that were taken so far have passed, in ms. */
  private answersPassAt = 0;

  /** Whether new connections are closed immediately. */
  isRefusing = false;

  /** Number of connections that were silenced. */
  silencedConnections = 0;

  /** Number of connections that were cut. */
  cutConnections = 0;

  /** Whether every part of an answer that is one chunk of a chunked HTTP body is sent twice. */
  isDuplicating = false;

  /** Number of chunks that were sent twice. */
  duplicatedFrames = 0;

  /** Number of connections whose answers were swapped. */
  swappedConnections = 0;

  /** @param target - `ip:port` that connections are relayed to */
  constructor(private readonly target: string) {
    this.server = createServer((near) => this.accept(near));
  }

  /**
   * Starts listening.
   * @param port - port to listen on; 0 for any free one
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
   * Silences all open connections permanently: bytes are dropped, but the connections stay open. New
   * connections work.
   * @param direction - direction in which bytes are dropped
   * @returns number of newly silenced connections
   */
  silence(direction: SilentDirection = 'both'): number {
    const open = [...this.connections].filter((connection) => !connection.silentDirection);
    open.forEach((connection) => Object.assign(connection, { silentDirection: direction }));
    this.silencedConnections += open.length;
    return open.length;
  }

  /**
   * Destroys the sockets of all open connections.
   * @returns number of connections cut
   */
  cutAll(): number {
    const open = [...this.connections];
    open.forEach((connection) => this.destroyConnection(connection));
    this.cutConnections += open.length;
    return open.length;
  }

  /**
   * Swaps the answers of active connections in pairs.
   * @returns number of connections whose answers now go to another connection
   */
  swapAnswers(): number {
    const now = performance.now();
    const active = [...this.connections].filter(
      (connection) =>
        now - connection.lastTransferAt < IDLE_AFTER_MS && !connection.silentDirection,
    );
    const pairs = Math.floor(active.length / 2);
    for (let pair = 0; pair < pairs; pair += 1) {
      const left = active[2 * pair]!;
      const right = active[2 * pair + 1]!;
      [left.answerSocket, right.answerSocket] = [right.answerSocket, left.answerSocket];
    }
    this.swappedConnections += 2 * pairs;
    return 2 * pairs;
  }

  /** Ends delays, limits and refusals; silenced connections stay silent. */
  clearFaults(): void {
    this.isRefusing = false;
    this.delayMs = 0;
    this.answerBytesPerS = Infinity;
  }

  /**
   * Limits the answers of all connections together, like a narrow link of the callers' machine.
   * @param bytesPerS - bytes that pass in a second
   */
  limitAnswers(bytesPerS: number): void {
    this.answerBytesPerS = bytesPerS;
  }

  /**
   * Delays every transfer from now on.
   * @param delayMs - delay in each direction, in milliseconds
   */
  slow(delayMs: number): void {
    this.delayMs = delayMs;
  }

  /** Cuts all connections, and closes new ones immediately until {@link clearFaults} is called. */
  refuse(): void {
    this.isRefusing = true;
    this.cutAll();
  }

  /** Closes the listener and all connections. */
  async dispose(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    [...this.connections].forEach((connection) => this.destroyConnection(connection));
    await closed;
  }

  private accept(callerSocket: Socket): void {
    if (this.isRefusing) {
      callerSocket.destroy();
      return;
    }
    const [host, port] = this.target.split(':');
    const targetSocket = connect(Number(port), host);
    const connection: Connection = {
      callerSocket,
      targetSocket,
      silentDirection: undefined,
      lastTransferAt: 0,
      queues: { requests: [], answers: [] },
      answerSocket: callerSocket,
    };
    this.connections.add(connection);
    callerSocket.on('data', (bytes) => {
      connection.lastTransferAt = performance.now();
      this.send(connection, 'requests', bytes);
    });
    targetSocket.on('data', (bytes) => {
      connection.lastTransferAt = performance.now();
      this.send(connection, 'answers', bytes);
      if (this.isDuplicating && COMPLETE_CHUNK.test(bytes.toString('latin1'))) {
        this.duplicatedFrames += 1;
        this.send(connection, 'answers', bytes);
      }
    });
    [callerSocket, targetSocket].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        if (!connection.silentDirection) this.destroyConnection(connection);
      });
    });
  }

  private send(connection: Connection, direction: Direction, bytes: Buffer): void {
    const queue = connection.queues[direction];
    const isLimited = direction === 'answers' && this.answerBytesPerS < Infinity;
    if (this.delayMs === 0 && !isLimited && queue.length === 0) {
      this.forward(connection, direction, bytes);
      return;
    }
    const now = performance.now();
    if (isLimited) {
      const passMs = (bytes.length / this.answerBytesPerS) * MS_PER_S;
      this.answersPassAt = Math.max(this.answersPassAt, now) + passMs;
      // The target must not run ahead of the link, or a connection that is given up would occupy it.
      connection.targetSocket.pause();
    }
    queue.push({ bytes, dueAt: (isLimited ? this.answersPassAt : now) + this.delayMs });
    if (queue.length === 1) this.forwardNext(connection, direction);
  }

  /** Forwards queued bytes one by one, since a later delay may be shorter than the one before. */
  private forwardNext(connection: Connection, direction: Direction): void {
    const queue = connection.queues[direction];
    const [next] = queue;
    if (!next) return;
    setTimeout(() => {
      this.forward(connection, direction, next.bytes);
      queue.shift();
      if (direction === 'answers' && queue.length === 0) connection.targetSocket.resume();
      this.forwardNext(connection, direction);
    }, next.dueAt - performance.now());
  }

  private forward(
    { silentDirection, targetSocket, answerSocket }: Connection,
    direction: Direction,
    bytes: Buffer,
  ): void {
    if (silentDirection === 'both' || silentDirection === direction) return;
    (direction === 'requests' ? targetSocket : answerSocket).write(bytes);
  }

  private destroyConnection(connection: Connection): void {
    connection.callerSocket.destroy();
    connection.targetSocket.destroy();
    if (connection.answerSocket !== connection.callerSocket) connection.answerSocket.destroy();
    this.connections.delete(connection);
  }
}
