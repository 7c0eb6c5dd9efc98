/** Options shared by the modules of the engine stand-in. */

/** Speed and limits of an engine. */
export interface EngineOptions {
  /** Maximum number of completions in a batch. */
  readonly slots: number;
  /** Maximum number of waiting completions; further ones are rejected with status 503. */
  readonly maxWaiting: number;
  /** Tokens generated per second for a completion that is alone in the batch. */
  readonly tokensPerSecond: number;
  /** Share by which each further completion in the batch lengthens a step. */
  readonly batchGrowth: number;
  /** Prompt tokens processed per second. */
  readonly promptTokensPerSecond: number;
  /** Maximum number of prompt tokens processed in one step. */
  readonly promptTokensPerStep: number;
  /** Capacity of the prompt prefix cache, in tokens. */
  readonly cacheTokens: number;
  /** Tokens in each chunk of a stream except the last. */
  readonly tokensPerChunk: number;
  /** Time after which a completion that no connection reads is cancelled, in milliseconds. */
  readonly resumeGraceMs: number;
  /** Time for which a finished completion can be resumed, in milliseconds. */
  readonly retainMs: number;
  /** Age at which cache events become visible, in milliseconds; the fault `lagMs` is added. */
  readonly cacheEventLagMs: number;
  /** Share of cache events that are omitted, 0 to 1. */
  readonly cacheEventGapShare: number;
  /** Initially loaded models. While neither this list nor an order names a model, any is served. */
  readonly models: readonly string[];
  /** Base URL of the weight store; without it models load immediately. */
  readonly weightsUrl?: string | undefined;
  readonly seed: number;
}
