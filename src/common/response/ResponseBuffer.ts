import type { ResponseAllocation, ResponseMemory } from './ResponseMemory.js';

/** Size of the first allocation, in bytes. */
const INITIAL_CAPACITY = 1024;

/** Size limit of a {@link ResponseBuffer}. */
export interface SizeLimit {
  /** Name of the limit in the settings. */
  readonly name: string;
  readonly bytes: number;
}

/**
 * Collects the bytes of a response, up to a limit. Bytes are copied into one growing buffer: a list
 * of chunks would take many times the memory of its content if a server sends single bytes.
 */
export class ResponseBuffer {
  private content = Buffer.alloc(0);

  private size = 0;

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
    return this.size;
  }

  /** @returns the collected bytes; valid until the next change of the buffer */
  get bytes(): Buffer {
    return this.content.subarray(0, this.size);
  }

  /** Adds bytes; after an overflow they are dropped. */
  append(chunk: Buffer): void {
    if (this.isClosed || chunk.length === 0) return;
    const size = this.size + chunk.length;
    if (size > this.limit.bytes) {
      this.overflow(
        `response exceeds ${this.limit.name} of ${this.limit.bytes} bytes: got ${size}`,
      );
      return;
    }
    this.reserve(size);
    if (this.isClosed) return;
    chunk.copy(this.content, this.size);
    this.size = size;
  }

  /** Drops the collected bytes, but keeps the memory for the following ones. */
  clear(): void {
    this.size = 0;
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
    this.content = Buffer.alloc(0);
    this.size = 0;
    this.allocation.release();
  }

  private reserve(size: number): void {
    if (size <= this.content.length) return;
    const capacity = Math.max(INITIAL_CAPACITY, size, this.content.length * 2);
    this.allocation.resize(capacity);
    if (this.isClosed) return;
    const grown = Buffer.allocUnsafe(capacity);
    this.content.copy(grown, 0, 0, this.size);
    this.content = grown;
  }

  private overflow(reason: string): void {
    if (this.isClosed) return;
    this.release();
    this.onOverflow(reason);
  }
}
