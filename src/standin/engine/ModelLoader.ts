import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const RETRY_DELAY_MS = 500;

/** State of a model in an engine. */
export type ModelState = 'loaded' | 'loading' | 'absent';

/** Loads the requested models from the weight store and unloads all others. */
export class ModelLoader {
  /** State of the models that are loaded or loading. While empty, any model is served. */
  private readonly models = new Map<string, ModelState>();

  private readonly abort = new AbortController();

  private downloadedBytes = 0;

  /**
   * @param models - models that are loaded initially
   * @param weightsUrl - base URL of the weight store; without it models load immediately
   */
  constructor(
    models: readonly string[],
    private readonly weightsUrl: string | undefined,
  ) {
    models.forEach((model) => this.models.set(model, 'loaded'));
  }

  /** Number of bytes received from the weight store. */
  get bytes(): number {
    return this.downloadedBytes;
  }

  /** Names of the loaded models. */
  get loaded(): string[] {
    return [...this.models].flatMap(([model, state]) => (state === 'loaded' ? [model] : []));
  }

  /**
   * Returns the state of a model.
   * @param model - name of the model
   * @returns state; `loaded` for every name while no models are configured
   */
  stateOf(model: string): ModelState {
    if (this.models.size === 0) return 'loaded';
    return this.models.get(model) ?? 'absent';
  }

  /**
   * Sets the models to serve: loads missing models and unloads all others.
   * @param wanted - names of the models
   */
  setWanted(wanted: readonly string[]): void {
    [...this.models.keys()]
      .filter((model) => !wanted.includes(model))
      .forEach((model) => this.models.delete(model));
    wanted
      .filter((model) => !this.models.has(model))
      .forEach((model) => {
        this.models.set(model, 'loading');
        // load() retries failed downloads; only the abort by dispose() rejects its promise.
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

  /** @returns true if the model was downloaded completely */
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
