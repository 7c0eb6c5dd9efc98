/** A step of a simulated run that waits to be chosen. */
interface Step {
  /** Process that has to run for the step; null for the network. */
  readonly owner: string | null;
  readonly go: () => void;
}

const flushPromises = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Lets a test choose the order in which waiting steps happen. Steps of paused processes wait. */
export class StepScheduler {
  readonly paused = new Set<string>();

  private steps: Step[] = [];

  /**
   * Waits until the test chooses this step.
   * @param owner - process that takes the step, or null
   */
  wait(owner: string | null): Promise<void> {
    return new Promise((resolve) => {
      this.steps.push({ owner, go: resolve });
    });
  }

  /**
   * Lets one step happen.
   * @param choice - selects among the steps that may happen
   * @returns false if there is none
   */
  async step(choice: number): Promise<boolean> {
    const ready = this.steps.filter(({ owner }) => owner === null || !this.paused.has(owner));
    const chosen = ready[choice % ready.length];
    if (!chosen) return false;
    this.steps = this.steps.filter((step) => step !== chosen);
    chosen.go();
    await flushPromises();
    return true;
  }
}
