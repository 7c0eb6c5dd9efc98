/** Size of the first allocation, in bytes. */
const INITIAL_CAPACITY = 1024;

/** Size from which on the buffer grows to the announced size at once, in bytes. */
const MIN_ANNOUNCED_CAPACITY = 64 * 1024;

/**
 * Collects bytes in one growing buffer: a list of chunks would take many times the memory of its
 * content if the sender sends single bytes.
 */
export class ByteCollector {
  private content = Buffer.alloc(0);

  private size = 0;

  private announced = 0;

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Size of the buffer, in bytes. */
  get capacity(): number {
    return this.content.length;
  }

  /** @returns the collected bytes; valid until the next change */
  get bytes(): Buffer {
    return this.content.subarray(0, this.size);
  }

  /** @returns size of the buffer after the number of bytes was added */
  capacityFor(added: number): number {
    const size = this.size + added;
    if (size <= this.capacity) return this.capacity;
    if (size > MIN_ANNOUNCED_CAPACITY && size <= this.announced) return this.announced;
    return Math.max(INITIAL_CAPACITY, size, this.capacity * 2);
  }

  /**
   * Avoids that a large buffer is copied as it grows.
   * @param bytes - number of bytes that the sender has announced
   */
  announce(bytes: number): void {
    this.announced = bytes;
  }

  append(chunk: Uint8Array): void {
    const capacity = this.capacityFor(chunk.length);
    if (capacity > this.capacity) {
      const grown = Buffer.allocUnsafe(capacity);
      this.content.copy(grown, 0, 0, this.size);
      this.content = grown;
    }
    this.content.set(chunk, this.size);
    this.size += chunk.length;
  }

  /** Drops the bytes, but keeps the buffer for the following ones. */
  clear(): void {
    this.size = 0;
  }

  /** Drops the bytes and the buffer. */
  release(): void {
    this.content = Buffer.alloc(0);
    this.size = 0;
  }
}
