/** Work that waits for a slot. */
export interface SlotWork {
  /** Starts the work, which must call `release` exactly once when it ends. */
  readonly start: (release: () => void) => void;
}

/** Runs work in a limited number of slots; further work waits in a first-in-first-out queue. */
export class SlotPool {
  private readonly queue = new Set<SlotWork>();

  private busySlots = 0;

  /** @param slots - number of slots */
  constructor(private readonly slots: number) {}

  get running(): number {
    return this.busySlots;
  }

  get waiting(): number {
    return this.queue.size;
  }

  /**
   * Queues work, which starts when a slot is free.
   * @param work - work to start
   */
  add(work: SlotWork): void {
    this.queue.add(work);
    this.startNextIfFree();
  }

  /**
   * Removes work from the queue.
   * @param work - work passed to {@link add}
   * @returns true if the work was still waiting; it does not start then
   */
  remove(work: SlotWork): boolean {
    return this.queue.delete(work);
  }

  /** Removes all work from the queue. Work that has started is not affected. */
  clear(): void {
    this.queue.clear();
  }

  private startNextIfFree(): void {
    const [next] = this.queue;
    if (!next || this.busySlots >= this.slots) return;
    this.queue.delete(next);
    this.busySlots += 1;
    next.start(() => {
      this.busySlots -= 1;
      this.startNextIfFree();
    });
  }
}
