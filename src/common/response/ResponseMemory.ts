/** Memory of one response; shrunk or released by its owner. */
export interface ResponseAllocation {
  /**
   * Sets the size of the allocation. If the total exceeds its limit, the largest allocations are
   * evicted, possibly this one.
   */
  resize(bytes: number): void;
  /** Returns the memory. */
  release(): void;
}

interface OpenAllocation {
  bytes: number;
  readonly onEvicted: (reason: string) => void;
}

/**
 * Bounds the memory of all responses that a process buffers.
 *
 * Answers many backend servers that send bytes without end at the same time: each response is
 * within its own limit, but together they would exhaust the process. The largest responses are
 * dropped first, so that the small ones of sound servers are kept.
 */
export class ResponseMemory {
  private readonly allocations = new Set<OpenAllocation>();

  private used = 0;

  /** @param limitBytes - most bytes of all allocations together */
  constructor(private readonly limitBytes: number) {}

  /** Bytes of all allocations. */
  get usedBytes(): number {
    return this.used;
  }

  /**
   * @param onEvicted - called with the reason when the allocation is evicted and its bytes returned
   * @returns an allocation without bytes
   */
  open(onEvicted: (reason: string) => void): ResponseAllocation {
    const allocation: OpenAllocation = { bytes: 0, onEvicted };
    return {
      resize: (bytes) => this.resize(allocation, bytes),
      release: () => this.remove(allocation),
    };
  }

  private resize(allocation: OpenAllocation, bytes: number): void {
    this.allocations.add(allocation);
    this.used += bytes - allocation.bytes;
    Object.assign(allocation, { bytes });
    while (this.used > this.limitBytes) {
      const largest = this.largest();
      if (!largest) return;
      const { bytes: evictedBytes, onEvicted } = largest;
      this.remove(largest);
      onEvicted(
        `responses exceed totalBytes of ${this.limitBytes} bytes together: the largest has ${evictedBytes}`,
      );
    }
  }

  private remove(allocation: OpenAllocation): void {
    if (!this.allocations.delete(allocation)) return;
    this.used -= allocation.bytes;
    Object.assign(allocation, { bytes: 0 });
  }

  private largest(): OpenAllocation | undefined {
    let largest: OpenAllocation | undefined;
    this.allocations.forEach((allocation) => {
      if (allocation.bytes > (largest?.bytes ?? 0)) largest = allocation;
    });
    return largest;
  }
}
