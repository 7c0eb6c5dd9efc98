/** A piece of work that waits for a slot. */
export interface SlotWork {
  /** Starts the work; must call the argument once when the slot is free again. */
  readonly start: (release: () => void) => void;
}

/** A limited number of slots with a first-in-first-out queue. */
export class SlotPool {
  private readonly queue = new Set<SlotWork>();

  private busy = 0;

  /** @param slots - pieces of work that run at the same time */
  constructor(private readonly slots: number) {}

  get running(): number {
    return this.busy;
  }

  get waiting(): number {
    return this.queue.size;
  }

  /**
   * Starts the work when a slot is free.
   * @param work - work to start
   */
  add(work: SlotWork): void {
    this.queue.add(work);
    this.startNext();
  }

  /**
   * Takes back work that has not started.
   * @param work - work passed to {@link add}
   * @returns true if it had not started and never will
   */
  remove(work: SlotWork): boolean {
    return this.queue.delete(work);
  }

  /** Takes back all work that has not started. */
  clear(): void {
    this.queue.clear();
  }

  private startNext(): void {
    const [next] = this.queue;
    if (!next || this.busy >= this.slots) return;
    this.queue.delete(next);
    this.busy += 1;
    next.start(() => {
      this.busy -= 1;
      this.startNext();
    });
  }
}
