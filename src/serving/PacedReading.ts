import { ReadPacing } from '../common/requests/ReadPacing.js';
import type { Clock } from '../common/time/Types.js';
import type { CallerConnection } from './CallerConnection.js';

/** Chunks below this size are small, in bytes. */
const SMALL_CHUNK_BYTES = 512;

/** Small chunks that a connection may send in one turn of the event loop before it is paced. */
const CHUNKS_PER_TURN = 256;

/** Small chunks between two readings of the clock. */
const CLOCK_INTERVAL_CHUNKS = 64;

/** Time for which new connections of an address with small chunks wait for their turn, in ms. */
const SUSPICION_MS = 60_000;

/** Most addresses with small chunks that are remembered. */
const MAX_ADDRESSES = 1000;

/** Small chunks of one connection, with the times of the first and of a late one, in ms. */
interface ChunkCount {
  chunks: number;
  readonly firstAt: number;
  lastAt: number;
}

/** Dependencies of {@link PacedReading}. */
export interface PacedReadingServices {
  readonly clock: Clock;
  /** @returns connections of all callers */
  readonly connections: () => Iterable<CallerConnection>;
  /** @returns whether there are requests other than those whose bodies are read */
  readonly isBusy: () => boolean;
}

/**
 * Reads connections with small chunks in turn. Node.js calls back for each chunk and always to the end
 * of a read of up to 64 KiB, so a connection is paused between two reads, not within one.
 */
export class PacedReading {
  private readonly pacing: ReadPacing<CallerConnection>;

  /** Time until which an address counts as one with small chunks, on the clock, in ms. */
  private readonly suspectUntil = new Map<string, number>();

  /** Connections that exceeded their chunks in this turn of the event loop. */
  private readonly exceeded = new Set<CallerConnection>();

  /** Connections that wait for the end of this turn. */
  private readonly deferred = new Set<CallerConnection>();

  /** Small chunks of each connection in this turn. */
  private readonly reads = new Map<CallerConnection, ChunkCount>();

  private isTurnEndScheduled = false;

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly services: PacedReadingServices) {
    this.pacing = new ReadPacing(services.clock, services.isBusy);
  }

  /** Number of connections that wait to be read. */
  get waitingCount(): number {
    return this.pacing.waitingCount;
  }

  /** Called with each new connection. */
  accept(connection: CallerConnection): void {
    const until = this.suspectUntil.get(connection.address);
    if (until === undefined) return;
    if (until < this.services.clock.now()) {
      this.suspectUntil.delete(connection.address);
      return;
    }
    connection.pause();
    this.pacing.add(connection, true);
    this.schedule();
  }

  /** Called when a connection was closed. */
  forget(connection: CallerConnection): void {
    this.pacing.remove(connection);
    this.exceeded.delete(connection);
    this.deferred.delete(connection);
  }

  /**
   * @param connection - connection that was read
   * @param bytes - size of the chunk
   */
  recordChunk(connection: CallerConnection, bytes: number): void {
    if (bytes >= SMALL_CHUNK_BYTES) return;
    let read = this.reads.get(connection);
    if (!read) {
      this.beginTurn();
      const now = this.services.clock.now();
      read = { chunks: 0, firstAt: now, lastAt: now };
      this.reads.set(connection, read);
    }
    read.chunks += 1;
    if (read.chunks % CLOCK_INTERVAL_CHUNKS === 0) read.lastAt = this.services.clock.now();
    if (read.chunks === CHUNKS_PER_TURN) this.exceed(connection);
  }

  dispose(): void {
    clearTimeout(this.timer);
  }

  private beginTurn(): void {
    if (this.isTurnEndScheduled) return;
    this.isTurnEndScheduled = true;
    setImmediate(() => this.endTurn());
  }

  private exceed(connection: CallerConnection): void {
    if (this.exceeded.size === 0) this.deferOthers(connection);
    this.exceeded.add(connection);
    this.deferred.delete(connection);
    connection.pause();
    this.suspect(connection.address);
  }

  /** Pauses connections that might send small chunks too, so that one of them is read in a turn. */
  private deferOthers(connection: CallerConnection): void {
    for (const other of this.services.connections()) {
      const mayRead = other.requestsRunning === 0 || other.awaitingClient > 0;
      if (other !== connection && mayRead && !other.isPaused) {
        other.pause();
        this.deferred.add(other);
      }
    }
  }

  private endTurn(): void {
    this.isTurnEndScheduled = false;
    this.exceeded.forEach((connection) => {
      const read = this.reads.get(connection);
      if (read) this.pacing.recordRead(read.lastAt - read.firstAt);
      if (!connection.isClosing) this.pacing.add(connection, false);
    });
    this.exceeded.clear();
    this.reads.clear();
    this.deferred.forEach((connection) => connection.resume());
    this.deferred.clear();
    this.schedule();
  }

  private suspect(address: string): void {
    this.suspectUntil.delete(address);
    this.suspectUntil.set(address, this.services.clock.now() + SUSPICION_MS);
    const [oldest] = this.suspectUntil.keys();
    if (this.suspectUntil.size > MAX_ADDRESSES && oldest) this.suspectUntil.delete(oldest);
  }

  private schedule(): void {
    if (this.timer || this.pacing.waitingCount === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.pacing.next()?.resume();
      // The connection is read, if it has bytes, before the next one is chosen.
      setImmediate(() => this.schedule());
    }, this.pacing.waitMs);
  }
}
