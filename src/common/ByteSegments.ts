import { SEGMENT_BYTES, type SegmentPool } from './SegmentPool.js';

/** Smallest segment, in bytes. */
const MIN_SEGMENT_BYTES = 1024;

interface Segment {
  readonly bytes: Uint8Array;
  filled: number;
  /** Whether the segment belongs to the pool. */
  readonly isPooled: boolean;
}

/**
 * Collects bytes in segments. In contrast to `ByteCollector` it never copies what it has collected
 * before the end, and returns large segments to a pool, so that many collections that grow at the same
 * time leave little garbage.
 */
export class ByteSegments {
  private readonly segments: Segment[] = [];

  private size = 0;

  private allocated = 0;

  /** @param pool - source of large segments */
  constructor(private readonly pool: SegmentPool) {}

  /** Number of collected bytes. */
  get length(): number {
    return this.size;
  }

  /** Size of all segments, in bytes. */
  get capacity(): number {
    return this.allocated;
  }

  /** @param chunk - bytes that do not change any more */
  append(chunk: Uint8Array): void {
    if (this.size === 0) this.add({ bytes: chunk, filled: chunk.length, isPooled: false });
    else this.copy(chunk);
    this.size += chunk.length;
  }

  /** @returns all collected bytes; the collection is empty afterwards */
  finish(): Buffer {
    const [first, ...others] = this.segments;
    const bytes =
      first && others.length === 0
        ? Buffer.from(first.bytes.buffer, first.bytes.byteOffset, first.filled)
        : this.join();
    this.release();
    return bytes;
  }

  /** Drops the bytes. */
  release(): void {
    this.segments.splice(0).forEach(({ bytes, isPooled }) => {
      if (isPooled) this.pool.give(bytes);
    });
    this.size = 0;
    this.allocated = 0;
  }

  private copy(chunk: Uint8Array): void {
    let copied = 0;
    while (copied < chunk.length) {
      let last = this.segments.at(-1)!;
      if (last.filled === last.bytes.length) last = this.add(this.createSegment());
      const count = Math.min(chunk.length - copied, last.bytes.length - last.filled);
      last.bytes.set(
        count === chunk.length ? chunk : chunk.subarray(copied, copied + count),
        last.filled,
      );
      last.filled += count;
      copied += count;
    }
  }

  private createSegment(): Segment {
    const bytes = Math.max(MIN_SEGMENT_BYTES, this.size);
    if (bytes < SEGMENT_BYTES) return { bytes: new Uint8Array(bytes), filled: 0, isPooled: false };
    return { bytes: this.pool.take(), filled: 0, isPooled: true };
  }

  private add(segment: Segment): Segment {
    this.segments.push(segment);
    this.allocated += segment.bytes.length;
    return segment;
  }

  private join(): Buffer {
    const filled = this.segments.map(({ bytes, filled: count }) => bytes.subarray(0, count));
    return Buffer.concat(filled, this.size);
  }
}
