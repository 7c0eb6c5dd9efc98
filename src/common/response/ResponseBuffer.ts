import { ByteCollector } from '../ByteCollector.js';
import type { ResponseAllocation, ResponseMemory } from './ResponseMemory.js';

/** Size limit of a {@link ResponseBuffer}. */
export interface SizeLimit {
  /** Name of the limit in the settings. */
  readonly name: string;
  readonly bytes: number;
}

/** Collects the bytes of a response, up to a limit. */
export class ResponseBuffer {
  private readonly collector = new ByteCollector();

  private isClosed = false;

  private readonly allocation: ResponseAllocation;

  /**
   * @param memory - memory that the bytes count towards
   * @param limit - most bytes to collect
   * @param onOverflow - called once with the reason when bytes are dropped
   */
  constructor(
    memory: ResponseMemory,
    private readonly limit: SizeLimit,
    private readonly onOverflow: (reason: string) => void,
  ) {
    this.allocation = memory.open((reason) => this.overflow(reason));
  }

  /** Number of collected bytes. */
  get length(): number {
    return this.collector.length;
  }

  /** @returns the collected bytes; valid until the next change of the buffer */
  get bytes(): Buffer {
    return this.collector.bytes;
  }

  /** @param bytes - number of bytes that the server has announced */
  announce(bytes: number): void {
    if (bytes <= this.limit.bytes) this.collector.announce(bytes);
  }

  /** Adds bytes; after an overflow they are dropped. */
  append(chunk: Buffer): void {
    if (this.isClosed || chunk.length === 0) return;
    const size = this.length + chunk.length;
    if (size > this.limit.bytes) {
      this.overflow(
        `response exceeds ${this.limit.name} of ${this.limit.bytes} bytes: got ${size}`,
      );
      return;
    }
    const capacity = this.collector.capacityFor(chunk.length);
    if (capacity > this.collector.capacity) this.allocation.resize(capacity);
    // The allocation may have been evicted.
    if (!this.isClosed) this.collector.append(chunk);
  }

  /** Drops the collected bytes, but keeps the memory for the following ones. */
  clear(): void {
    this.collector.clear();
  }

  /**
   * Ends the collection and returns the memory.
   * @returns the collected bytes
   */
  finish(): Buffer {
    const { bytes } = this;
    this.release();
    return bytes;
  }

  /** Drops the bytes and returns the memory. */
  release(): void {
    this.isClosed = true;
    this.collector.release();
    this.allocation.release();
  }

  private overflow(reason: string): void {
    if (this.isClosed) return;
    this.release();
    this.onOverflow(reason);
  }
}
