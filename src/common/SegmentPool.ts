/** Size of a segment, in bytes. */
export const SEGMENT_BYTES = 64 * 1024;

/** Most segments that are kept for reuse. */
const MAX_FREE_SEGMENTS = 128;

/**
 * Segments of memory that are used again. Segments that were left to the garbage collector would
 * count until it has run, which takes long for bytes outside the heap.
 */
export class SegmentPool {
  private readonly free: Uint8Array[] = [];

  /** Number of segments that are kept for reuse. */
  get freeCount(): number {
    return this.free.length;
  }

  /** @returns segment with any content */
  take(): Uint8Array {
    return this.free.pop() ?? new Uint8Array(SEGMENT_BYTES);
  }

  /** @param segment - segment that was taken and is not used any more */
  give(segment: Uint8Array): void {
    if (this.free.length < MAX_FREE_SEGMENTS) this.free.push(segment);
  }
}
