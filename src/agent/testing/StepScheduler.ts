/** A pending step of a simulated run. */
interface Step {
  /** Process that performs the step; null for the network, which is never paused. */
  readonly owner: string | null;
  readonly run: () => void;
}

const flushPromises = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Lets a test choose the order in which pending steps run. Steps of paused processes stay pending.
 */
export class StepScheduler {
  /** Names of the paused processes. */
  readonly paused = new Set<string>();

  private steps: Step[] = [];

  /**
   * Adds a pending step.
   * @param owner - process that performs the step, or null for the network
   * @returns resolves when the test runs the step
   */
  wait(owner: string | null): Promise<void> {
    return new Promise((resolve) => {
      this.steps.push({ owner, run: resolve });
    });
  }

  /**
   * Runs one pending step.
   * @param choice - selects among the runnable steps, modulo their number
   * @returns false if no step is runnable
   */
  async runStep(choice: number): Promise<boolean> {
    const ready = this.steps.filter(({ owner }) => owner === null || !this.paused.has(owner));
    const chosen = ready[choice % ready.length];
    if (!chosen) return false;
    this.steps = this.steps.filter((step) => step !== chosen);
    chosen.run();
    await flushPromises();
    return true;
  }
}
