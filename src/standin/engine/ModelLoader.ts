import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const RETRY_DELAY_MS = 500;

/** State of a model in an engine. */
export type ModelState = 'loaded' | 'loading' | 'absent';

/** Loads models from the weight store and drops those that are no longer wanted. */
export class ModelLoader {
  /** Names of models that are loaded or being loaded. Empty: any model is served. */
  private readonly models = new Map<string, ModelState>();

  private readonly abort = new AbortController();

  private downloadedBytes = 0;

  /**
   * @param models - models loaded at the start
   * @param weightsUrl - URL of the weight store; without it models load at once
   */
  constructor(
    models: readonly string[],
    private readonly weightsUrl: string | undefined,
  ) {
    models.forEach((model) => this.models.set(model, 'loaded'));
  }

  /** Bytes read from the weight store. */
  get bytes(): number {
    return this.downloadedBytes;
  }

  /** @returns names of loaded models. */
  get loaded(): string[] {
    return [...this.models].flatMap(([model, state]) => (state === 'loaded' ? [model] : []));
  }

  /**
   * @param model - name of a model
   * @returns its state; `loaded` for every name while no models are named
   */
  stateOf(model: string): ModelState {
    if (this.models.size === 0) return 'loaded';
    return this.models.get(model) ?? 'absent';
  }

  /** @param wanted - models to have loaded; others are dropped */
  setWanted(wanted: readonly string[]): void {
    [...this.models.keys()]
      .filter((model) => !wanted.includes(model))
      .forEach((model) => this.models.delete(model));
    wanted
      .filter((model) => !this.models.has(model))
      .forEach((model) => {
        this.models.set(model, 'loading');
        // A failed load is repeated inside; only dispose() ends it early.
        this.load(model).catch(() => undefined);
      });
  }

  dispose(): void {
    this.abort.abort();
  }

  private async load(model: string): Promise<void> {
    while (this.models.get(model) === 'loading') {
      if (await this.download(model)) {
        if (this.models.has(model)) this.models.set(model, 'loaded');
        return;
      }
      await sleep(RETRY_DELAY_MS, undefined, { signal: this.abort.signal });
    }
  }

  /** @returns true if the whole model was read. */
  private async download(model: string): Promise<boolean> {
    if (this.weightsUrl === undefined) return true;
    try {
      const response = await request(`${this.weightsUrl}/weights/${encodeURIComponent(model)}`, {
        signal: this.abort.signal,
      });
      for await (const block of response.body) this.downloadedBytes += (block as Buffer).length;
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }
}
